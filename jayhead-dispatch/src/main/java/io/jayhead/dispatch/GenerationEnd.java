package io.jayhead.dispatch;

import io.jayhead.dispatch.GenerationState.Phase;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.Transition;
import io.jayhead.model.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Ends a generation: charge, end marker, failure and cancellation. */
final class GenerationEnd {

    private GenerationEnd() {}

    /** Charges a whole answer; the end marker follows when the charge is safe. */
    static Transition<GenerationState, DispatchCommand> complete(GenerationState state, DispatchEvent.Done done) {
        Usage usage = bounded(state, done.promptTokens(), done.outputTokens());
        GenerationState next = state.withUsage(usage).in(Phase.CHARGING);
        return Transition.of(next, new DispatchCommand.CommitCharge(usage.promptTokens(), usage.outputTokens()));
    }

    /** Tells the caller at once, then charges what ran. */
    static Transition<GenerationState, DispatchCommand> fail(GenerationState state, ErrorCode code) {
        boolean broken = state.deliveredTokens() > 0;
        Verdict verdict = state.evidence().verdict();
        DispatchCommand failure = new DispatchCommand.FailCaller(codeFor(code, verdict), verdict, broken);
        return stop(state, List.of(failure));
    }

    /** Returns the code for a failure: no_upstream tells callers that the request was never sent. */
    static ErrorCode codeFor(ErrorCode code, Verdict verdict) {
        return code == ErrorCode.NO_UPSTREAM && !verdict.isNotRun() ? ErrorCode.UPSTREAM_FAILED : code;
    }

    /** Stops the work for a caller that is gone. */
    static Transition<GenerationState, DispatchCommand> callerGone(GenerationState state) {
        boolean over =
                state.phase() == Phase.STOPPING || state.phase() == Phase.SETTLING || state.phase() == Phase.CLOSED;
        if (over) {
            return Transition.of(state);
        }
        GenerationState gone = state.withCallerGone();
        return state.phase() == Phase.CHARGING ? Transition.of(gone) : stop(gone, List.of());
    }

    /** Handles what a cancelled upstream reports. */
    static Transition<GenerationState, DispatchCommand> stopped(GenerationState state, DispatchEvent.OfAttempt event) {
        if (event instanceof DispatchEvent.Cancelled cancelled) {
            return settle(state, cancelled.usage());
        }
        if (event instanceof DispatchEvent.Done done) {
            long promptTokens = Math.max(0, done.promptTokens());
            long outputTokens = Math.max(0, done.outputTokens());
            return settle(state, Optional.of(new Usage(promptTokens, outputTokens)));
        }
        return Transition.of(state);
    }

    /** Ends waiting for a report of a cancelled upstream, or for a charge after the deadline. */
    static Transition<GenerationState, DispatchCommand> tick(GenerationState state) {
        if (state.phase() == Phase.CHARGING) {
            return chargeTooLate(state);
        }
        boolean waiting = state.nowMs() - state.attempt().lastProgressMs()
                <= state.limits().cancelWaitMs();
        return waiting ? Transition.of(state) : settle(state, Optional.empty());
    }

    /** Handles the outcome of the charge. */
    static Transition<GenerationState, DispatchCommand> charge(GenerationState state, DispatchEvent event) {
        boolean failed = event instanceof DispatchEvent.ChargeFailed;
        boolean safe = event instanceof DispatchEvent.Charged || event instanceof DispatchEvent.ChargeHeld;
        if (!failed && !safe) {
            return Transition.of(state);
        }
        if (state.phase() == Phase.SETTLING) {
            return close(state, List.of());
        }
        if (state.phase() != Phase.CHARGING) {
            return Transition.of(state);
        }
        if (state.isCallerGone()) {
            return close(state, List.of());
        }
        DispatchCommand end = failed
                ? chargeFailure(state, ErrorCode.PLATFORM_UNAVAILABLE)
                : new DispatchCommand.DeliverEnd(state.usage());
        return close(state, List.of(end));
    }

    /** Returns the command that cancels the run of the last attempt. */
    static DispatchCommand cancel(GenerationState state) {
        AttemptState attempt = state.attempt();
        return new DispatchCommand.CancelUpstream(attempt.number(), attempt.upstream(), state.upstreamRequestId());
    }

    private static Transition<GenerationState, DispatchCommand> stop(
            GenerationState state, List<DispatchCommand> before) {
        if (!state.evidence().mayHaveRun()) {
            return close(state, before);
        }
        List<DispatchCommand> commands = new ArrayList<>(before);
        commands.add(cancel(state));
        // The wait for the upstream's report starts now.
        GenerationState next =
                state.withAttempt(state.attempt().withToken(state.nowMs())).in(Phase.STOPPING);
        return new Transition<>(next, commands);
    }

    private static Transition<GenerationState, DispatchCommand> settle(
            GenerationState state, Optional<Usage> reported) {
        long received = state.deliveredTokens();
        long outputTokens = Math.max(received, reported.map(Usage::outputTokens).orElse(0L));
        // Without any count of the prompt, tokens received prove that the prompt was processed: charge its bound.
        long unreported = state.promptTokens().orElse(received > 0 ? state.promptLimit() : 0);
        long promptTokens = reported.map(Usage::promptTokens).orElse(unreported);
        Usage usage = bounded(state, promptTokens, outputTokens);
        if (usage.totalTokens() == 0) {
            return close(state, List.of());
        }
        return Transition.of(
                state.withUsage(usage).in(Phase.SETTLING),
                new DispatchCommand.CommitCharge(usage.promptTokens(), usage.outputTokens()));
    }

    private static Transition<GenerationState, DispatchCommand> chargeTooLate(GenerationState state) {
        boolean late = state.nowMs() >= state.limits().deadlineMs();
        if (!late) {
            return Transition.of(state);
        }
        GenerationState next = state.in(Phase.SETTLING);
        return state.isCallerGone()
                ? Transition.of(next)
                : Transition.of(next, chargeFailure(state, ErrorCode.DEADLINE_EXCEEDED));
    }

    private static DispatchCommand chargeFailure(GenerationState state, ErrorCode code) {
        return new DispatchCommand.FailCaller(code, Verdict.ran(), state.deliveredTokens() > 0);
    }

    private static Usage bounded(GenerationState state, long promptTokens, long outputTokens) {
        long prompt = Math.max(0, Math.min(promptTokens, state.promptLimit()));
        long output = Math.max(0, Math.min(outputTokens, state.limits().maxOutputTokens()));
        return new Usage(prompt, output);
    }

    private static Transition<GenerationState, DispatchCommand> close(
            GenerationState state, List<DispatchCommand> before) {
        List<DispatchCommand> commands = new ArrayList<>(before);
        commands.add(new DispatchCommand.Finish());
        return new Transition<>(state.in(Phase.CLOSED), commands);
    }
}
