package io.jayhead.dispatch;

import io.jayhead.dispatch.GenerationState.Phase;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.Transition;
import io.jayhead.model.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Ends a generation with a charge and an end marker, with a failure, or by cancelling its run. */
final class GenerationEnd {

    private GenerationEnd() {}

    /** Charges a complete answer; the end marker follows once the charge is committed or held. */
    static Transition<GenerationState, DispatchCommand> complete(GenerationState state, DispatchEvent.Done done) {
        Usage usage = bounded(state, done.promptTokens(), done.outputTokens());
        GenerationState next = state.withUsage(usage).withPhase(Phase.CHARGING);
        return Transition.of(next, new DispatchCommand.CommitCharge(usage.promptTokens(), usage.outputTokens()));
    }

    /** Reports the failure to the caller immediately, then cancels the run and charges the tokens that were used. */
    static Transition<GenerationState, DispatchCommand> fail(GenerationState state, ErrorCode code) {
        boolean broken = state.deliveredTokens() > 0;
        Verdict verdict = state.evidence().verdict();
        DispatchCommand failure = new DispatchCommand.FailCaller(codeFor(code, verdict), verdict, broken);
        return stop(state, List.of(failure));
    }

    /**
     * Replaces {@code no_upstream} if the request may have run, because that code tells callers that it was never sent.
     */
    static ErrorCode codeFor(ErrorCode code, Verdict verdict) {
        return code == ErrorCode.NO_UPSTREAM && !verdict.isNotRun() ? ErrorCode.UPSTREAM_FAILED : code;
    }

    /** Cancels the run of a caller that has disconnected; a charge that is being committed continues. */
    static Transition<GenerationState, DispatchCommand> callerDisconnected(GenerationState state) {
        boolean alreadyEnding =
                state.phase() == Phase.STOPPING || state.phase() == Phase.SETTLING || state.phase() == Phase.CLOSED;
        if (alreadyEnding) {
            return Transition.of(state);
        }
        GenerationState next = state.withCallerDisconnected();
        return state.phase() == Phase.CHARGING ? Transition.of(next) : stop(next, List.of());
    }

    /** Handles events of a run that is being cancelled; its upstream may report the tokens used. */
    static Transition<GenerationState, DispatchCommand> handleCancelledRun(
            GenerationState state, DispatchEvent.AttemptEvent event) {
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

    /**
     * Ends the wait for the usage of a cancelled run after its time limit, and the wait for the charge at the deadline.
     */
    static Transition<GenerationState, DispatchCommand> tick(GenerationState state) {
        if (state.phase() == Phase.CHARGING) {
            return checkChargeDeadline(state);
        }
        boolean waiting = state.nowMs() - state.attempt().lastProgressMs()
                <= state.limits().cancelWaitMs();
        return waiting ? Transition.of(state) : settle(state, Optional.empty());
    }

    /** Handles the result of the charge and ends the request. */
    static Transition<GenerationState, DispatchCommand> handleChargeResult(GenerationState state, DispatchEvent event) {
        boolean failed = event instanceof DispatchEvent.ChargeFailed;
        boolean recorded = event instanceof DispatchEvent.Charged || event instanceof DispatchEvent.ChargeHeld;
        if (!failed && !recorded) {
            return Transition.of(state);
        }
        if (state.phase() == Phase.SETTLING) {
            return close(state, List.of());
        }
        if (state.phase() != Phase.CHARGING) {
            return Transition.of(state);
        }
        if (state.isCallerDisconnected()) {
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
            GenerationState state, List<DispatchCommand> precedingCommands) {
        if (!state.evidence().mayHaveRun()) {
            return close(state, precedingCommands);
        }
        List<DispatchCommand> commands = new ArrayList<>(precedingCommands);
        commands.add(cancel(state));
        // Counts as progress, so that the wait for the reported usage starts now.
        GenerationState next =
                state.withAttempt(state.attempt().withToken(state.nowMs())).withPhase(Phase.STOPPING);
        return new Transition<>(next, commands);
    }

    private static Transition<GenerationState, DispatchCommand> settle(
            GenerationState state, Optional<Usage> reported) {
        long deliveredTokens = state.deliveredTokens();
        long outputTokens =
                Math.max(deliveredTokens, reported.map(Usage::outputTokens).orElse(0L));
        // Without a reported count, received tokens prove that the prompt was processed, so its upper bound is charged.
        long assumedPromptTokens = state.promptTokens().orElse(deliveredTokens > 0 ? state.promptLimit() : 0);
        long promptTokens = reported.map(Usage::promptTokens).orElse(assumedPromptTokens);
        Usage usage = bounded(state, promptTokens, outputTokens);
        if (usage.totalTokens() == 0) {
            return close(state, List.of());
        }
        return Transition.of(
                state.withUsage(usage).withPhase(Phase.SETTLING),
                new DispatchCommand.CommitCharge(usage.promptTokens(), usage.outputTokens()));
    }

    private static Transition<GenerationState, DispatchCommand> checkChargeDeadline(GenerationState state) {
        boolean deadlinePassed = state.nowMs() >= state.limits().deadlineMs();
        if (!deadlinePassed) {
            return Transition.of(state);
        }
        GenerationState next = state.withPhase(Phase.SETTLING);
        return state.isCallerDisconnected()
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
            GenerationState state, List<DispatchCommand> precedingCommands) {
        List<DispatchCommand> commands = new ArrayList<>(precedingCommands);
        commands.add(new DispatchCommand.Finish());
        return new Transition<>(state.withPhase(Phase.CLOSED), commands);
    }
}
