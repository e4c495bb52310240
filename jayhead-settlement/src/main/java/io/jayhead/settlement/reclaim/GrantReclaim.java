package io.jayhead.settlement.reclaim;

import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Decides the steps to reclaim the grant of a lost router incarnation.
 *
 * <p>The entry is closed only if every upstream on which the budget can be spent checks fencing and has
 * acknowledged the raised token, the requests cancelled there are charged, and all routers have committed the
 * holder's charges that they had pending. Otherwise the open part of the grant stays counted as spent.
 */
public final class GrantReclaim {

    private GrantReclaim() {}

    /**
     * Starts a reclaim.
     *
     * @param plan the plan
     * @return the first state and command; nothing is marked if fencing cannot prove anything
     */
    public static Transition<ReclaimState, ReclaimCommand> start(ReclaimPlan plan) {
        ReclaimState state = new ReclaimState(plan, ReclaimStep.MARKING, Set.of(), List.of());
        if (plan.targets().isEmpty()) {
            return leave(state, "the upstreams that could spend the grant are not known");
        }
        for (FenceTarget target : plan.targets()) {
            if (!target.checksFencing()) {
                return leave(state, "upstream " + target.upstream() + " does not check fencing");
            }
        }
        return Transition.of(state, new ReclaimCommand.MarkEntry(plan.nonce()));
    }

    /**
     * Handles an event; events that do not fit the step are ignored.
     *
     * @param state the state
     * @param event the event
     * @return the next state and the commands
     */
    public static Transition<ReclaimState, ReclaimCommand> handle(ReclaimState state, ReclaimEvent event) {
        boolean ended = state.step() == ReclaimStep.CLOSED || state.step() == ReclaimStep.WRITTEN_OFF;
        if (event instanceof ReclaimEvent.StepFailed failed && !ended) {
            return leave(state, failed.reason());
        }
        return switch (state.step()) {
            case MARKING -> marking(state, event);
            case FENCING -> fencing(state, event);
            case CHARGING ->
                event instanceof ReclaimEvent.CancelledCharged ? commitPending(state) : Transition.of(state);
            case COMMITTING ->
                event instanceof ReclaimEvent.PendingCommitted
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
            case CLOSING -> closing(state, event);
            case CLOSED, WRITTEN_OFF -> Transition.of(state);
        };
    }

    private static Transition<ReclaimState, ReclaimCommand> marking(ReclaimState state, ReclaimEvent event) {
        if (event instanceof ReclaimEvent.MarkLost) {
            return leave(state, "the entry is closed or reclaimed by another router");
        }
        if (!(event instanceof ReclaimEvent.EntryMarked)) {
            return Transition.of(state);
        }
        List<ReclaimCommand> fences = new ArrayList<>();
        for (FenceTarget target : state.plan().targets()) {
            fences.add(new ReclaimCommand.RaiseFence(
                    target.upstream(), state.plan().holder(), state.plan().fencingNumber()));
        }
        return new Transition<>(state.withStep(ReclaimStep.FENCING), fences);
    }

    private static Transition<ReclaimState, ReclaimCommand> fencing(ReclaimState state, ReclaimEvent event) {
        if (event instanceof ReclaimEvent.FenceFailed failed) {
            return leave(state, "upstream " + failed.upstream() + " did not acknowledge fencing");
        }
        if (!(event instanceof ReclaimEvent.FenceAcknowledged acknowledged)) {
            return Transition.of(state);
        }
        ReclaimState next = state.withAcknowledged(acknowledged);
        if (!next.allAcknowledged()) {
            return Transition.of(next);
        }
        return next.cancelled().isEmpty()
                ? commitPending(next)
                : Transition.of(
                        next.withStep(ReclaimStep.CHARGING), new ReclaimCommand.ChargeCancelled(next.cancelled()));
    }

    private static Transition<ReclaimState, ReclaimCommand> commitPending(ReclaimState state) {
        return Transition.of(
                state.withStep(ReclaimStep.COMMITTING),
                new ReclaimCommand.CommitPending(state.plan().holder()));
    }

    private static Transition<ReclaimState, ReclaimCommand> closing(ReclaimState state, ReclaimEvent event) {
        if (event instanceof ReclaimEvent.EntryClosed) {
            return Transition.of(state.withStep(ReclaimStep.CLOSED));
        }
        return event instanceof ReclaimEvent.CloseLost
                ? leave(state, "another writer closed or changed the entry")
                : Transition.of(state);
    }

    private static Transition<ReclaimState, ReclaimCommand> leave(ReclaimState state, String reason) {
        return Transition.of(state.withStep(ReclaimStep.WRITTEN_OFF), new ReclaimCommand.LeaveWrittenOff(reason));
    }
}
