package io.jayhead.dispatch;

import io.jayhead.dispatch.CallState.Phase;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides how one call of a plain service proceeds over its attempts.
 *
 * <p>A booking is sent again only with proof that no attempt has run it. A status read is repeated over a fresh
 * connection, on another upstream if there is one.
 */
public final class CallAttempts {

    private CallAttempts() {}

    /**
     * Handles an event.
     *
     * @param state the state
     * @param event the event
     * @return the next state and the commands
     */
    public static Transition<CallState, DispatchCommand> handle(CallState state, DispatchEvent event) {
        if (event instanceof DispatchEvent.AttemptEvent attemptEvent) {
            boolean current = state.phase() == Phase.RUNNING && attemptEvent.attempt() == state.attemptNumber();
            return current ? handleAttempt(state, attemptEvent) : Transition.of(state);
        }
        if (event instanceof DispatchEvent.Admitted admitted && state.phase() == Phase.NEW) {
            return send(state.withNowMs(admitted.nowMs()), admitted.upstream());
        }
        if (event instanceof DispatchEvent.RetryDecided decided && state.phase() == Phase.AWAITING_RETRY) {
            return decided.allowed() ? choose(state.withNowMs(decided.nowMs())) : fail(state, state.lastError());
        }
        if (event instanceof DispatchEvent.UpstreamChosen chosen && state.phase() == Phase.CHOOSING) {
            return send(state.withNowMs(chosen.nowMs()), chosen.upstream());
        }
        if (event instanceof DispatchEvent.NoUpstream && state.phase() == Phase.CHOOSING) {
            return state.isRetryableOnSameUpstream()
                    ? send(state, state.attempt().upstream())
                    : fail(state, state.lastError());
        }
        if (event instanceof DispatchEvent.Tick tick) {
            return tick(state.withNowMs(tick.nowMs()));
        }
        if (event instanceof DispatchEvent.CallerDisconnected) {
            return callerDisconnected(state);
        }
        return state.phase() == Phase.CHARGING ? handleChargeResult(state, event) : Transition.of(state);
    }

    private static Transition<CallState, DispatchCommand> handleAttempt(
            CallState state, DispatchEvent.AttemptEvent event) {
        if (event instanceof DispatchEvent.Answered answered) {
            return answered(state, answered);
        }
        if (event instanceof DispatchEvent.ConnectFailed) {
            return notRun(state, NotRunProof.CONNECT_FAILED, ErrorCode.NO_UPSTREAM, false);
        }
        if (event instanceof DispatchEvent.Refused refused) {
            return refused.definite()
                    ? notRun(state, NotRunProof.UPSTREAM_REFUSED, ErrorCode.UPSTREAM_REFUSED, false)
                    : retry(state.withFailure(ErrorCode.UPSTREAM_FAILED, false));
        }
        if (event instanceof DispatchEvent.ConnectionBroken broken) {
            return broken.bytesSent()
                    ? retry(state.withFailure(ErrorCode.UPSTREAM_FAILED, true))
                    : notRun(state, NotRunProof.CONNECT_FAILED, ErrorCode.UPSTREAM_FAILED, true);
        }
        return Transition.of(state);
    }

    private static Transition<CallState, DispatchCommand> answered(CallState state, DispatchEvent.Answered answered) {
        DispatchCommand.DeliverAnswer answer =
                new DispatchCommand.DeliverAnswer(answered.httpStatus(), answered.body());
        CallState next = state.withAnswer(answer);
        if (state.priceTokens() > 0) {
            return Transition.of(
                    next.withPhase(Phase.CHARGING), new DispatchCommand.CommitCharge(0, state.priceTokens()));
        }
        return close(next, state.isCallerDisconnected() ? List.of() : List.of(answer));
    }

    private static Transition<CallState, DispatchCommand> notRun(
            CallState state, NotRunProof proof, ErrorCode error, boolean mayRetryOnSameUpstream) {
        CallState next = state.withEvidence(state.evidence().withProof(proof));
        return retry(next.withFailure(error, mayRetryOnSameUpstream));
    }

    private static Transition<CallState, DispatchCommand> retry(CallState state) {
        boolean allowed = state.retryRule().allowsNewAttempt(state.evidence().verdict());
        boolean attemptsLeft = state.attemptNumber() < state.limits().maxAttempts();
        if (!allowed || !attemptsLeft || state.isCallerDisconnected()) {
            return fail(state, state.lastError());
        }
        return Transition.of(state.withPhase(Phase.AWAITING_RETRY), new DispatchCommand.RequestRetry());
    }

    private static Transition<CallState, DispatchCommand> choose(CallState state) {
        return Transition.of(
                state.withPhase(Phase.CHOOSING), new DispatchCommand.ChooseUpstream(state.tried(), Optional.empty()));
    }

    private static Transition<CallState, DispatchCommand> send(CallState state, UpstreamName upstream) {
        int number = state.attemptNumber() + 1;
        AttemptState attempt = AttemptState.of(number, upstream, number, state.nowMs());
        CallState next = state.withAttempt(attempt)
                .withEvidence(state.evidence().withSend())
                .withPhase(Phase.RUNNING);
        String requestId = GenerationState.upstreamRequestId(state.key(), number);
        return Transition.of(next, new DispatchCommand.Send(number, upstream, requestId, 0, number > 1));
    }

    private static Transition<CallState, DispatchCommand> tick(CallState state) {
        if (state.phase() == Phase.CLOSED) {
            return Transition.of(state);
        }
        boolean deadlinePassed = state.nowMs() >= state.limits().deadlineMs();
        if (state.phase() == Phase.CHARGING) {
            return deadlinePassed && !state.isCallerDisconnected() ? failLateCharge(state) : Transition.of(state);
        }
        if (deadlinePassed) {
            return fail(state, ErrorCode.DEADLINE_EXCEEDED);
        }
        if (state.phase() != Phase.RUNNING || !state.attempt().isSilent(state.nowMs(), state.limits())) {
            return Transition.of(state);
        }
        AttemptState silent = state.attempt();
        Transition<CallState, DispatchCommand> retry = retry(state.withFailure(ErrorCode.UPSTREAM_FAILED, true));
        List<DispatchCommand> commands = new ArrayList<>();
        commands.add(new DispatchCommand.ReportSilentFailure(silent.upstream(), silent.sentMs()));
        commands.addAll(retry.commands());
        return new Transition<>(retry.state(), commands);
    }

    /**
     * Keeps a sent attempt running after the caller has disconnected, because its outcome must be stored and charged.
     */
    private static Transition<CallState, DispatchCommand> callerDisconnected(CallState state) {
        if (state.phase() == Phase.CLOSED) {
            return Transition.of(state);
        }
        CallState next = state.withCallerDisconnected();
        boolean pending = state.phase() == Phase.RUNNING || state.phase() == Phase.CHARGING;
        return pending ? Transition.of(next) : close(next, List.of());
    }

    private static Transition<CallState, DispatchCommand> handleChargeResult(CallState state, DispatchEvent event) {
        boolean failed = event instanceof DispatchEvent.ChargeFailed;
        boolean recorded = event instanceof DispatchEvent.Charged || event instanceof DispatchEvent.ChargeHeld;
        if (!failed && !recorded) {
            return Transition.of(state);
        }
        if (state.isCallerDisconnected()) {
            return close(state, List.of());
        }
        DispatchCommand end = failed
                ? new DispatchCommand.FailCaller(ErrorCode.PLATFORM_UNAVAILABLE, Verdict.ran(), false)
                : state.answer().orElseThrow();
        return close(state, List.of(end));
    }

    private static Transition<CallState, DispatchCommand> failLateCharge(CallState state) {
        DispatchCommand failure = new DispatchCommand.FailCaller(ErrorCode.DEADLINE_EXCEEDED, Verdict.ran(), false);
        return Transition.of(state.withCallerDisconnected(), failure);
    }

    /** Fails a call. A call that may have run is charged, because the upstream may have done the work. */
    private static Transition<CallState, DispatchCommand> fail(CallState state, ErrorCode code) {
        Verdict verdict = state.evidence().verdict();
        List<DispatchCommand> commands = new ArrayList<>();
        if (!state.isCallerDisconnected()) {
            commands.add(new DispatchCommand.FailCaller(GenerationEnd.codeFor(code, verdict), verdict, false));
        }
        if (verdict instanceof Verdict.NotRun || state.priceTokens() == 0) {
            return close(state, commands);
        }
        commands.add(new DispatchCommand.CommitCharge(0, state.priceTokens()));
        return new Transition<>(state.withCallerDisconnected().withPhase(Phase.CHARGING), commands);
    }

    private static Transition<CallState, DispatchCommand> close(
            CallState state, List<DispatchCommand> precedingCommands) {
        List<DispatchCommand> commands = new ArrayList<>(precedingCommands);
        commands.add(new DispatchCommand.Finish());
        return new Transition<>(state.withPhase(Phase.CLOSED), commands);
    }
}
