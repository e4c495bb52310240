package io.jayhead.settlement.charge;

import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides the steps of one writer of a partition of the charge log.
 *
 * <p>Several writers may append to a partition at the same time; the conditional create of a slot lets only one of them
 * write it. A writer first reads the checkpoint and the slots after it. Charges that arrive during a write form the
 * next batch. After a lost reply the writer reads the slot back. It writes the same batch with the same nonce again
 * only if the slot is absent. A charge that was answered with {@link ChargeOutcome.Held} is answered again when it is
 * committed.
 *
 * <p>A duplicate of a charge that has left the duplicate window is charged again, see {@link ChargeLedger}.
 *
 * <p>Slots are deleted one retention time after a checkpoint that covers them was confirmed as stored. A writer that
 * was suspended for longer could create a deleted slot again, and readers, which start at the checkpoint, would miss
 * its charges. If the writer last confirmed more than half the retention time ago that its next slot is not among the
 * deleted ones, a write therefore counts only after the checkpoint was read. If the checkpoint no longer shows whether
 * such an old attempt took effect, its charges are answered with {@link ChargeOutcome.Unresolved}.
 */
public final class ChargeLog {

    private ChargeLog() {}

    /**
     * Starts a writer of a partition.
     *
     * @param settings the parameters
     * @param nowMs the current time in milliseconds since the epoch
     * @return the first state and the command to read the checkpoint
     */
    public static Transition<ChargeLogState, ChargeLogCommand> start(ChargeLogSettings settings, long nowMs) {
        return Transition.of(ChargeLogState.initial(settings, nowMs), new ChargeLogCommand.ReadCheckpoint());
    }

    /**
     * Handles an event; results of platform calls that the writer does not wait for are ignored.
     *
     * @param state the current state
     * @param event the event
     * @return the next state and the commands
     */
    public static Transition<ChargeLogState, ChargeLogCommand> handle(ChargeLogState state, ChargeLogEvent event) {
        if (event instanceof ChargeLogEvent.Append append) {
            return handleAppend(state, append);
        }
        if (event instanceof ChargeLogEvent.Tick tick) {
            return handleTick(state, tick.stamp());
        }
        if (event instanceof ChargeLogEvent.SlotRead read) {
            return SlotReads.handleSlotRead(state, read);
        }
        if (event instanceof ChargeLogEvent.SlotAbsent absent) {
            return SlotReads.handleSlotAbsent(state, absent);
        }
        if (event instanceof ChargeLogEvent.SlotUnreadable unreadable) {
            return SlotReads.handleSlotUnreadable(state, unreadable);
        }
        if (event instanceof ChargeLogEvent.CheckpointRead read) {
            return Checkpoints.handleCheckpointRead(state, read);
        }
        if (event instanceof ChargeLogEvent.CheckpointUnreadable unreadable) {
            return Checkpoints.handleCheckpointUnreadable(state, unreadable);
        }
        if (event instanceof ChargeLogEvent.CheckpointStored stored) {
            return Checkpoints.handleCheckpointStored(state, stored);
        }
        return SlotWrites.handleWriteResult(state, event);
    }

    private static Transition<ChargeLogState, ChargeLogCommand> handleAppend(
            ChargeLogState state, ChargeLogEvent.Append event) {
        boolean recovered = !(state.phase() instanceof ChargePhase.LoadingCheckpoint
                || state.phase() instanceof ChargePhase.Recovering);
        CommittedCharge firstCharge =
                recovered ? state.ledger().find(event.entry().key()).orElse(null) : null;
        if (firstCharge != null) {
            return Transition.of(state, duplicateReply(event.correlation(), firstCharge));
        }
        boolean held = state.platformDown();
        ChargeLogState queued =
                state.withQueue(state.queue().plus(new PendingCharge(event.correlation(), event.entry(), held)));
        if (state.queue().size() == 0) {
            queued = queued.withLingerUntil(
                    event.stamp().nowMs() + state.settings().lingerMs());
        }
        if (held) {
            return Transition.of(queued, new ChargeLogCommand.Reply(event.correlation(), new ChargeOutcome.Held()));
        }
        return SlotWrites.startIfDue(queued, event.stamp());
    }

    private static Transition<ChargeLogState, ChargeLogCommand> handleTick(ChargeLogState state, EventStamp stamp) {
        if (!state.platformDown()) {
            return SlotWrites.startIfDue(state, stamp);
        }
        if (stamp.nowMs() < state.retryAtMs()) {
            return Transition.of(state);
        }
        ChargePhase phase = state.phase();
        if (phase instanceof ChargePhase.LoadingCheckpoint) {
            return Transition.of(
                    state.withPhase(new ChargePhase.LoadingCheckpoint(stamp.nowMs())),
                    new ChargeLogCommand.ReadCheckpoint());
        }
        if (phase instanceof ChargePhase.Verifying verifying) {
            return Transition.of(
                    state.withPhase(new ChargePhase.Verifying(verifying.attempt(), stamp.nowMs())),
                    new ChargeLogCommand.ReadCheckpoint());
        }
        if (phase instanceof ChargePhase.Idle) {
            return SlotWrites.startIfDue(state.withRetryAt(0), stamp);
        }
        return Transition.of(
                state.withRetryAt(0),
                new ChargeLogCommand.ReadSlot(state.ledger().nextSlot()));
    }

    /** Schedules the retry of a failed call and tells all senders that their charges are held, unless told before. */
    static Transition<ChargeLogState, ChargeLogCommand> handlePlatformFailure(ChargeLogState state, EventStamp stamp) {
        List<ChargeLogCommand> replies = new ArrayList<>();
        List<PendingCharge> pending = new ArrayList<>(state.attemptCharges());
        pending.addAll(state.queue().toList());
        for (PendingCharge charge : pending) {
            if (!charge.held()) {
                replies.add(new ChargeLogCommand.Reply(charge.correlation(), new ChargeOutcome.Held()));
            }
        }
        ChargeLogState failed = replies.isEmpty()
                ? state
                : state.withPhase(state.phase().withAllHeld())
                        .withQueue(state.queue().withAllHeld());
        long retryAtMs = stamp.nowMs() + state.settings().retryMs();
        return new Transition<>(failed.withRetryAt(retryAtMs), replies);
    }

    static ChargeLogCommand duplicateReply(String correlation, CommittedCharge firstCharge) {
        return new ChargeLogCommand.Reply(correlation, new ChargeOutcome.Duplicate(firstCharge.entry()));
    }

    /** Returns a transition that carries out the earlier commands before its own. */
    static Transition<ChargeLogState, ChargeLogCommand> prependCommands(
            List<ChargeLogCommand> earlier, Transition<ChargeLogState, ChargeLogCommand> next) {
        List<ChargeLogCommand> commands = new ArrayList<>(earlier);
        commands.addAll(next.commands());
        return new Transition<>(next.state(), commands);
    }
}
