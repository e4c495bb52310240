package io.jayhead.dispatch;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.RequestKey;
import io.jayhead.model.UpstreamName;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Holds the state of one generation; immutable. {@link GenerationAttempts} computes the transitions.
 */
public final class GenerationState {

    /** The phases of a generation. */
    public enum Phase {
        /** No attempt was sent. */
        NEW,
        /** An attempt is in flight. */
        RUNNING,
        /** The generation waits for the decision of the retry budget. */
        AWAITING_RETRY,
        /** The generation waits for routing to choose an upstream. */
        CHOOSING,
        /** All tokens were delivered and their charge is being committed; the end marker follows. */
        CHARGING,
        /** The request failed or its caller has disconnected; the run is being cancelled and its usage requested. */
        STOPPING,
        /** The caller needs no further answer and the charge is being committed. */
        SETTLING,
        /** The request has ended. */
        CLOSED
    }

    private final RequestKey key;
    private final DispatchLimits limits;
    private final Phase phase;
    private final Optional<AttemptState> attempt;
    private final Set<UpstreamName> tried;
    private final Delivery delivery;
    private final RunEvidence evidence;
    private final OptionalLong promptTokens;
    private final ErrorCode lastError;
    private final boolean resumable;
    private final boolean callerDisconnected;
    private final long nowMs;
    private final Usage usage;

    private GenerationState(Builder builder) {
        this.key = builder.key;
        this.limits = builder.limits;
        this.phase = builder.phase;
        this.attempt = builder.attempt;
        this.tried = Set.copyOf(builder.tried);
        this.delivery = builder.delivery;
        this.evidence = builder.evidence;
        this.promptTokens = builder.promptTokens;
        this.lastError = builder.lastError;
        this.resumable = builder.resumable;
        this.callerDisconnected = builder.callerDisconnected;
        this.nowMs = builder.nowMs;
        this.usage = builder.usage;
    }

    /**
     * Creates the state of an admitted generation.
     *
     * @param key the request key
     * @param limits the limits
     * @return the state
     */
    public static GenerationState of(RequestKey key, DispatchLimits limits) {
        return new GenerationState(new Builder(key, limits));
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

    /**
     * Returns the upstream of the last attempt.
     *
     * @return the upstream, or empty before the first attempt
     */
    public Optional<UpstreamName> upstream() {
        return attempt.map(AttemptState::upstream);
    }

    /**
     * Returns the number of tokens that were delivered to the caller.
     *
     * @return the number of tokens
     */
    public long deliveredTokens() {
        return delivery.delivered();
    }

    /**
     * Returns the id of the current run at its upstream. The id is derived from the request key, so that an engine
     * recognises a request that arrives again through another router.
     *
     * @return the id
     */
    public String upstreamRequestId() {
        return upstreamRequestId(key, attempt.map(AttemptState::run).orElse(1));
    }

    /**
     * Returns the id of a run at its upstream.
     *
     * @param key the request key
     * @param run the number of the attempt that starts the run, from 1
     * @return the id
     */
    public static String upstreamRequestId(RequestKey key, int run) {
        return key.value() + "-" + run;
    }

    DispatchLimits limits() {
        return limits;
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

    Delivery delivery() {
        return delivery;
    }

    RunEvidence evidence() {
        return evidence;
    }

    OptionalLong promptTokens() {
        return promptTokens;
    }

    /** Returns the most prompt tokens that may be charged: those that are reserved and were not refunded. */
    long promptLimit() {
        return Math.min(limits.reservedPromptTokens(), promptTokens.orElse(limits.reservedPromptTokens()));
    }

    ErrorCode lastError() {
        return lastError;
    }

    boolean isResumable() {
        return resumable;
    }

    boolean isCallerDisconnected() {
        return callerDisconnected;
    }

    long nowMs() {
        return nowMs;
    }

    Usage usage() {
        return usage;
    }

    GenerationState withPhase(Phase newPhase) {
        return change(builder -> builder.phase = newPhase);
    }

    GenerationState withAttempt(AttemptState newAttempt) {
        return change(builder -> builder.attempt = Optional.of(newAttempt));
    }

    GenerationState withTried(UpstreamName upstream) {
        return change(builder -> {
            builder.tried = new HashSet<>(tried);
            builder.tried.add(upstream);
        });
    }

    GenerationState withDelivery(Delivery newDelivery) {
        return change(builder -> builder.delivery = newDelivery);
    }

    GenerationState withEvidence(RunEvidence newEvidence) {
        return change(builder -> builder.evidence = newEvidence);
    }

    GenerationState withPromptTokens(long tokens) {
        return change(builder -> builder.promptTokens = OptionalLong.of(tokens));
    }

    GenerationState withFailure(ErrorCode error, boolean mayResume) {
        return change(builder -> {
            builder.lastError = error;
            builder.resumable = mayResume;
        });
    }

    GenerationState withCallerDisconnected() {
        return change(builder -> builder.callerDisconnected = true);
    }

    GenerationState withNowMs(long newNowMs) {
        return change(builder -> builder.nowMs = Math.max(nowMs, newNowMs));
    }

    GenerationState withUsage(Usage newUsage) {
        return change(builder -> builder.usage = newUsage);
    }

    private GenerationState change(Consumer<Builder> change) {
        Builder builder = new Builder(this);
        change.accept(builder);
        return new GenerationState(builder);
    }

    private static final class Builder {
        private final RequestKey key;
        private final DispatchLimits limits;
        private Phase phase = Phase.NEW;
        private Optional<AttemptState> attempt = Optional.empty();
        private Set<UpstreamName> tried = Set.of();
        private Delivery delivery = Delivery.empty();
        private RunEvidence evidence = RunEvidence.empty();
        private OptionalLong promptTokens = OptionalLong.empty();
        private ErrorCode lastError = ErrorCode.UPSTREAM_FAILED;
        private boolean resumable;
        private boolean callerDisconnected;
        private long nowMs = Long.MIN_VALUE;
        private Usage usage = new Usage(0, 0);

        Builder(RequestKey key, DispatchLimits limits) {
            this.key = key;
            this.limits = limits;
        }

        Builder(GenerationState state) {
            this(state.key, state.limits);
            this.phase = state.phase;
            this.attempt = state.attempt;
            this.tried = state.tried;
            this.delivery = state.delivery;
            this.evidence = state.evidence;
            this.promptTokens = state.promptTokens;
            this.lastError = state.lastError;
            this.resumable = state.resumable;
            this.callerDisconnected = state.callerDisconnected;
            this.nowMs = state.nowMs;
            this.usage = state.usage;
        }
    }
}
