package io.jayhead.settlement.reclaim;

import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Decides the steps to reclaim the grant of a lost router incarnation.
 *
 * <p>The ledger entry is closed only with proof that nothing more can be spent from the grant: every upstream on which
 * the budget can be spent checks fencing and has acknowledged the raised fencing token, the requests cancelled there
 * are charged, and all routers have committed the pending charges of the holder. Otherwise the uncharged part of the
 * grant stays counted as spent.
 */
public final class GrantReclaim {

    private GrantReclaim() {}

    /**
     * Starts a reclaim.
     *
     * @param plan the holder to reclaim from and the upstreams to fence
     * @return the first state and command; if the upstreams are unknown or one of them does not check fencing, the
     *     reclaim ends at once without marking the entry, because it could not succeed
     */
    public static Transition<ReclaimState, ReclaimCommand> start(ReclaimPlan plan) {
        ReclaimState state = new ReclaimState(plan, ReclaimStep.MARKING, Set.of(), List.of());
        if (plan.targets().isEmpty()) {
            return writeOff(state, "the upstreams that could spend the grant are not known");
        }
        for (FenceTarget target : plan.targets()) {
            if (!target.checksFencing()) {
                return writeOff(state, "upstream " + target.upstream() + " does not check fencing");
            }
        }
        return Transition.of(state, new ReclaimCommand.MarkEntry(plan.nonce()));
    }

    /**
     * Handles an event; events that the current step does not expect are ignored.
     *
     * @param state the current state
     * @param event the event
     * @return the next state and the commands
     */
    public static Transition<ReclaimState, ReclaimCommand> handle(ReclaimState state, ReclaimEvent event) {
        boolean ended = state.step() == ReclaimStep.CLOSED || state.step() == ReclaimStep.WRITTEN_OFF;
        if (event instanceof ReclaimEvent.StepFailed failed && !ended) {
            return writeOff(state, failed.reason());
        }
        return switch (state.step()) {
            case MARKING -> handleMarking(state, event);
            case FENCING -> handleFencing(state, event);
            case CHARGING ->
                event instanceof ReclaimEvent.CancelledRequestsCharged
                        ? commitPendingCharges(state)
                        : Transition.of(state);
            case COMMITTING ->
                event instanceof ReclaimEvent.PendingChargesCommitted
                        ? Transition.of(
                                state.withStep(ReclaimStep.COUNTING),
                                new ReclaimCommand.CountCharges(state.plan().holder()))
                        : Transition.of(state);
            case COUNTING ->
                event instanceof ReclaimEvent.ChargesCounted counted
                        ? Transition.of(
                                state.withStep(ReclaimStep.CLOSING),
                                new ReclaimCommand.CloseEntry(state.plan().nonce(), counted.tokens()))
                        : Transition.of(state);
            case CLOSING -> handleClosing(state, event);
            case CLOSED, WRITTEN_OFF -> Transition.of(state);
        };
    }

    private static Transition<ReclaimState, ReclaimCommand> handleMarking(ReclaimState state, ReclaimEvent event) {
        if (event instanceof ReclaimEvent.MarkConflict) {
            return writeOff(state, "the entry is closed or reclaimed by another router");
        }
        if (!(event instanceof ReclaimEvent.EntryMarked)) {
            return Transition.of(state);
        }
        List<ReclaimCommand> fences = new ArrayList<>();
        for (FenceTarget target : state.plan().targets()) {
            fences.add(new ReclaimCommand.RaiseFence(
                    target.upstream(), state.plan().holder(), state.plan().fencingToken()));
        }
        return new Transition<>(state.withStep(ReclaimStep.FENCING), fences);
    }

    private static Transition<ReclaimState, ReclaimCommand> handleFencing(ReclaimState state, ReclaimEvent event) {
        if (event instanceof ReclaimEvent.FenceFailed failed) {
            return writeOff(state, "upstream " + failed.upstream() + " did not acknowledge fencing");
        }
        if (!(event instanceof ReclaimEvent.FenceAcknowledged acknowledged)) {
            return Transition.of(state);
        }
        ReclaimState next = state.withAcknowledged(acknowledged);
        if (!next.allAcknowledged()) {
            return Transition.of(next);
        }
        return next.cancelled().isEmpty()
                ? commitPendingCharges(next)
                : Transition.of(
                        next.withStep(ReclaimStep.CHARGING),
                        new ReclaimCommand.ChargeCancelledRequests(next.cancelled()));
    }

    private static Transition<ReclaimState, ReclaimCommand> commitPendingCharges(ReclaimState state) {
        return Transition.of(
                state.withStep(ReclaimStep.COMMITTING),
                new ReclaimCommand.CommitPendingCharges(state.plan().holder()));
    }

    private static Transition<ReclaimState, ReclaimCommand> handleClosing(ReclaimState state, ReclaimEvent event) {
        if (event instanceof ReclaimEvent.EntryClosed) {
            return Transition.of(state.withStep(ReclaimStep.CLOSED));
        }
        return event instanceof ReclaimEvent.CloseConflict
                ? writeOff(state, "another writer closed or changed the entry")
                : Transition.of(state);
    }

    private static Transition<ReclaimState, ReclaimCommand> writeOff(ReclaimState state, String reason) {
        return Transition.of(state.withStep(ReclaimStep.WRITTEN_OFF), new ReclaimCommand.WriteOff(reason));
    }
}
