package io.jayhead.dispatch;

import io.jayhead.dispatch.GenerationState.Phase;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides how one generation proceeds over its attempts.
 *
 * <p>The caller receives every token once and in order, regardless of which attempts produced them. After a silent or
 * broken attempt, the run is first resumed on the same upstream, then repeated on another one. The end marker is sent
 * only after the charge is committed or held.
 */
public final class GenerationAttempts {

    private GenerationAttempts() {}

    /**
     * Handles an event.
     *
     * @param state the state
     * @param event the event
     * @return the next state and the commands
     */
    public static Transition<GenerationState, DispatchCommand> handle(GenerationState state, DispatchEvent event) {
        if (event instanceof DispatchEvent.AttemptEvent attemptEvent) {
            boolean current = state.hasAttempt() && attemptEvent.attempt() == state.attemptNumber();
            return current ? handleAttempt(state, attemptEvent) : Transition.of(state);
        }
        if (event instanceof DispatchEvent.Tick tick) {
            return tick(state.withNowMs(tick.nowMs()));
        }
        if (event instanceof DispatchEvent.Admitted admitted && state.phase() == Phase.NEW) {
            return sendNew(state.withNowMs(admitted.nowMs()), admitted.upstream());
        }
        if (event instanceof DispatchEvent.RetryDecided decided && state.phase() == Phase.AWAITING_RETRY) {
            return retryDecided(state.withNowMs(decided.nowMs()), decided.allowed());
        }
        if (event instanceof DispatchEvent.UpstreamChosen chosen && state.phase() == Phase.CHOOSING) {
            return sendElsewhere(state.withNowMs(chosen.nowMs()), chosen.upstream());
        }
        if (event instanceof DispatchEvent.NoUpstream && state.phase() == Phase.CHOOSING) {
            return state.isResumable() ? resume(state) : GenerationEnd.fail(state, state.lastError());
        }
        if (event instanceof DispatchEvent.CallerDisconnected) {
            return GenerationEnd.callerDisconnected(state);
        }
        return GenerationEnd.handleChargeResult(state, event);
    }

    private static Transition<GenerationState, DispatchCommand> handleAttempt(
            GenerationState state, DispatchEvent.AttemptEvent event) {
        if (state.phase() == Phase.STOPPING) {
            return GenerationEnd.handleCancelledRun(state, event);
        }
        if (state.phase() != Phase.RUNNING) {
            return Transition.of(state);
        }
        if (event instanceof DispatchEvent.TokenReceived token) {
            return token(state.withNowMs(token.nowMs()), token);
        }
        if (event instanceof DispatchEvent.Started started) {
            return started(state, started.promptTokens());
        }
        if (event instanceof DispatchEvent.Done done) {
            return done(state, done);
        }
        if (event instanceof DispatchEvent.ConnectFailed) {
            return notRun(state, NotRunProof.CONNECT_FAILED, ErrorCode.NO_UPSTREAM);
        }
        if (event instanceof DispatchEvent.Refused refused) {
            return refused(state, refused);
        }
        if (event instanceof DispatchEvent.ConnectionBroken broken) {
            return broken.bytesSent()
                    ? retry(state.withFailure(ErrorCode.UPSTREAM_FAILED, true))
                    : notRun(state, NotRunProof.CONNECT_FAILED, ErrorCode.UPSTREAM_FAILED);
        }
        return Transition.of(state);
    }

    private static Transition<GenerationState, DispatchCommand> started(GenerationState state, long promptTokens) {
        GenerationState running = state.withAttempt(state.attempt().withOutput());
        if (state.promptTokens().isPresent()) {
            return Transition.of(running);
        }
        long chargeableTokens =
                Math.max(0, Math.min(promptTokens, state.limits().reservedPromptTokens()));
        long refund = state.limits().reservedPromptTokens() - chargeableTokens;
        GenerationState next = running.withPromptTokens(chargeableTokens);
        return refund > 0 ? Transition.of(next, new DispatchCommand.RefundPrompt(refund)) : Transition.of(next);
    }

    private static Transition<GenerationState, DispatchCommand> token(
            GenerationState state, DispatchEvent.TokenReceived token) {
        GenerationState running = state.withAttempt(state.attempt().withToken(token.nowMs()));
        Delivery before = state.delivery();
        if (token.index() != before.position()) {
            return retry(running.withFailure(ErrorCode.UPSTREAM_FAILED, true));
        }
        if (token.index() >= state.limits().maxOutputTokens()) {
            return GenerationEnd.fail(running, ErrorCode.UPSTREAM_FAILED);
        }
        Delivery after = before.withToken(token.text());
        GenerationState next = running.withDelivery(after);
        if (!before.isReplaying()) {
            return Transition.of(next, new DispatchCommand.DeliverToken(token.index(), token.text()));
        }
        return after.hasDiverged() ? GenerationEnd.fail(next, ErrorCode.STREAM_BROKEN) : Transition.of(next);
    }

    private static Transition<GenerationState, DispatchCommand> done(GenerationState state, DispatchEvent.Done done) {
        GenerationState running = state.withAttempt(state.attempt().withOutput());
        Delivery delivery = state.delivery();
        if (done.outputTokens() != delivery.position()) {
            return retry(running.withFailure(ErrorCode.UPSTREAM_FAILED, true));
        }
        if (delivery.isReplaying()) {
            return GenerationEnd.fail(running, ErrorCode.STREAM_BROKEN);
        }
        return GenerationEnd.complete(running, done);
    }

    private static Transition<GenerationState, DispatchCommand> refused(
            GenerationState state, DispatchEvent.Refused refused) {
        if (refused.definite()) {
            return notRun(state, NotRunProof.UPSTREAM_REFUSED, ErrorCode.UPSTREAM_REFUSED);
        }
        return retry(state.withFailure(ErrorCode.UPSTREAM_FAILED, false));
    }

    private static Transition<GenerationState, DispatchCommand> notRun(
            GenerationState state, NotRunProof proof, ErrorCode error) {
        // An upstream that has shown output of this attempt cannot prove later that the attempt did not run.
        boolean proven = !state.attempt().outputSeen();
        GenerationState next = proven ? state.withEvidence(state.evidence().withProof(proof)) : state;
        return retry(next.withFailure(error, false));
    }

    private static Transition<GenerationState, DispatchCommand> retry(GenerationState state) {
        if (state.attemptNumber() >= state.limits().maxAttempts()) {
            return GenerationEnd.fail(state, state.lastError());
        }
        return Transition.of(state.withPhase(Phase.AWAITING_RETRY), new DispatchCommand.RequestRetry());
    }

    private static Transition<GenerationState, DispatchCommand> retryDecided(GenerationState state, boolean allowed) {
        if (!allowed) {
            return GenerationEnd.fail(state, state.lastError());
        }
        if (state.isResumable() && !state.attempt().isResume()) {
            return resume(state);
        }
        GenerationState next = state.withTried(state.attempt().upstream()).withPhase(Phase.CHOOSING);
        return Transition.of(next, new DispatchCommand.ChooseUpstream(next.tried(), Optional.empty()));
    }

    private static Transition<GenerationState, DispatchCommand> resume(GenerationState state) {
        AttemptState last = state.attempt();
        AttemptState next = AttemptState.of(last.number() + 1, last.upstream(), last.run(), state.nowMs());
        return send(state, next, List.of());
    }

    private static Transition<GenerationState, DispatchCommand> sendNew(GenerationState state, UpstreamName upstream) {
        int number = state.attemptNumber() + 1;
        AttemptState next = AttemptState.of(number, upstream, number, state.nowMs());
        return send(state.withDelivery(state.delivery().withNewRun()), next, List.of());
    }

    private static Transition<GenerationState, DispatchCommand> sendElsewhere(
            GenerationState state, UpstreamName upstream) {
        int number = state.attemptNumber() + 1;
        AttemptState next = AttemptState.of(number, upstream, number, state.nowMs());
        List<DispatchCommand> cancel = state.evidence().mayHaveRun() ? List.of(GenerationEnd.cancel(state)) : List.of();
        return send(state.withDelivery(state.delivery().withNewRun()), next, cancel);
    }

    private static Transition<GenerationState, DispatchCommand> send(
            GenerationState state, AttemptState attempt, List<DispatchCommand> precedingCommands) {
        GenerationState next = state.withAttempt(attempt)
                .withEvidence(state.evidence().withSend())
                .withPhase(Phase.RUNNING);
        List<DispatchCommand> commands = new ArrayList<>(precedingCommands);
        commands.add(new DispatchCommand.Send(
                attempt.number(),
                attempt.upstream(),
                next.upstreamRequestId(),
                next.delivery().position(),
                attempt.number() > 1));
        return new Transition<>(next, commands);
    }

    private static Transition<GenerationState, DispatchCommand> tick(GenerationState state) {
        if (state.phase() == Phase.STOPPING || state.phase() == Phase.CHARGING) {
            return GenerationEnd.tick(state);
        }
        if (state.phase() == Phase.SETTLING || state.phase() == Phase.CLOSED) {
            return Transition.of(state);
        }
        if (state.nowMs() >= state.limits().deadlineMs()) {
            return GenerationEnd.fail(state, ErrorCode.DEADLINE_EXCEEDED);
        }
        if (state.phase() != Phase.RUNNING || !state.attempt().isSilent(state.nowMs(), state.limits())) {
            return Transition.of(state);
        }
        Transition<GenerationState, DispatchCommand> retry = retry(state.withFailure(ErrorCode.UPSTREAM_FAILED, true));
        AttemptState silent = state.attempt();
        List<DispatchCommand> commands = new ArrayList<>();
        commands.add(new DispatchCommand.ReportSilentFailure(silent.upstream(), silent.sentMs()));
        commands.addAll(retry.commands());
        return new Transition<>(retry.state(), commands);
    }
}
