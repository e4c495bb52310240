package io.jayhead.dispatch;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.RequestKey;
import io.jayhead.model.RetryRule;
import io.jayhead.model.UpstreamName;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Holds the state of one call of a plain service; immutable. {@link CallAttempts} computes the transitions. */
public final class CallState {

    /** The phases of a call. */
    public enum Phase {
        /** No attempt was sent. */
        NEW,
        /** An attempt is in flight. */
        RUNNING,
        /** The call waits for the decision of the retry budget. */
        AWAITING_RETRY,
        /** The call waits for routing to choose an upstream. */
        CHOOSING,
        /** The outcome is decided and its charge is being committed. */
        CHARGING,
        /** The call has ended. */
        CLOSED
    }

    private final RequestKey key;
    private final DispatchLimits limits;
    private final RetryRule retryRule;
    private final long priceTokens;
    private final Phase phase;
    private final Optional<AttemptState> attempt;
    private final Set<UpstreamName> tried;
    private final RunEvidence evidence;
    private final ErrorCode lastError;
    private final boolean retryableOnSameUpstream;
    private final Optional<DispatchCommand.DeliverAnswer> answer;
    private final boolean callerDisconnected;
    private final long nowMs;

    private CallState(Builder builder) {
        this.key = builder.key;
        this.limits = builder.limits;
        this.retryRule = builder.retryRule;
        this.priceTokens = builder.priceTokens;
        this.phase = builder.phase;
        this.attempt = builder.attempt;
        this.tried = Set.copyOf(builder.tried);
        this.evidence = builder.evidence;
        this.lastError = builder.lastError;
        this.retryableOnSameUpstream = builder.retryableOnSameUpstream;
        this.answer = builder.answer;
        this.callerDisconnected = builder.callerDisconnected;
        this.nowMs = builder.nowMs;
    }

    /**
     * Creates the state of an admitted call.
     *
     * @param key the request key
     * @param limits the limits
     * @param retryRule whether the call may be sent again after an attempt that may have run it
     * @param priceTokens the charge for the call in tokens; 0 if it is free
     * @return the state
     */
    public static CallState of(RequestKey key, DispatchLimits limits, RetryRule retryRule, long priceTokens) {
        return new CallState(new Builder(key, limits, retryRule, priceTokens));
    }

    /**
     * Returns the current phase.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Returns the number of the last attempt.
     *
     * @return the number, or 0 before the first attempt
     */
    public int attemptNumber() {
        return attempt.map(AttemptState::number).orElse(0);
    }

    RequestKey key() {
        return key;
    }

    DispatchLimits limits() {
        return limits;
    }

    RetryRule retryRule() {
        return retryRule;
    }

    long priceTokens() {
        return priceTokens;
    }

    AttemptState attempt() {
        return attempt.orElseThrow();
    }

    boolean hasAttempt() {
        return attempt.isPresent();
    }

    Set<UpstreamName> tried() {
        return tried;
    }

    RunEvidence evidence() {
        return evidence;
    }

    ErrorCode lastError() {
        return lastError;
    }

    /**
     * Tells whether the same upstream may serve a new attempt, because the connection of the last one broke or went
     * silent.
     */
    boolean isRetryableOnSameUpstream() {
        return retryableOnSameUpstream;
    }

    Optional<DispatchCommand.DeliverAnswer> answer() {
        return answer;
    }

    boolean isCallerDisconnected() {
        return callerDisconnected;
    }

    long nowMs() {
        return nowMs;
    }

    CallState withPhase(Phase newPhase) {
        return change(builder -> builder.phase = newPhase);
    }

    CallState withAttempt(AttemptState newAttempt) {
        return change(builder -> {
            builder.attempt = Optional.of(newAttempt);
            builder.tried = new HashSet<>(tried);
            builder.tried.add(newAttempt.upstream());
        });
    }

    CallState withEvidence(RunEvidence newEvidence) {
        return change(builder -> builder.evidence = newEvidence);
    }

    CallState withFailure(ErrorCode error, boolean mayRetryOnSameUpstream) {
        return change(builder -> {
            builder.lastError = error;
            builder.retryableOnSameUpstream = mayRetryOnSameUpstream;
        });
    }

    CallState withAnswer(DispatchCommand.DeliverAnswer newAnswer) {
        return change(builder -> builder.answer = Optional.of(newAnswer));
    }

    CallState withCallerDisconnected() {
        return change(builder -> builder.callerDisconnected = true);
    }

    CallState withNowMs(long newNowMs) {
        return change(builder -> builder.nowMs = Math.max(nowMs, newNowMs));
    }

    private CallState change(Consumer<Builder> change) {
        Builder builder = new Builder(this);
        change.accept(builder);
        return new CallState(builder);
    }

    private static final class Builder {
        private final RequestKey key;
        private final DispatchLimits limits;
        private final RetryRule retryRule;
        private final long priceTokens;
        private Phase phase = Phase.NEW;
        private Optional<AttemptState> attempt = Optional.empty();
        private Set<UpstreamName> tried = Set.of();
        private RunEvidence evidence = RunEvidence.empty();
        private ErrorCode lastError = ErrorCode.UPSTREAM_FAILED;
        private boolean retryableOnSameUpstream;
        private Optional<DispatchCommand.DeliverAnswer> answer = Optional.empty();
        private boolean callerDisconnected;
        private long nowMs = Long.MIN_VALUE;

        Builder(RequestKey key, DispatchLimits limits, RetryRule retryRule, long priceTokens) {
            this.key = key;
            this.limits = limits;
            this.retryRule = retryRule;
            this.priceTokens = priceTokens;
        }

        Builder(CallState state) {
            this(state.key, state.limits, state.retryRule, state.priceTokens);
            this.phase = state.phase;
            this.attempt = state.attempt;
            this.tried = state.tried;
            this.evidence = state.evidence;
            this.lastError = state.lastError;
            this.retryableOnSameUpstream = state.retryableOnSameUpstream;
            this.answer = state.answer;
            this.callerDisconnected = state.callerDisconnected;
            this.nowMs = state.nowMs;
        }
    }
}
