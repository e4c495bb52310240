package io.jayhead.settlement.charge;

import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides the steps of one writer of one partition of the charge log.
 *
 * <p>Several writers may work on a partition at a time; the conditional create of each slot decides between them.
 * A writer first reads the checkpoint and the slots after it. Charges that arrive during a write form the next
 * batch. After a lost reply the writer reads the slot back, and writes the same batch with the same nonce again only
 * if the slot is absent. A charge that was answered with {@link ChargeOutcome.Held} is answered again when it is
 * committed.
 *
 * <p>A duplicate of a charge that has left the window is charged again, see {@link ChargeLedger}.
 *
 * <p>Slots are deleted one retention time after a checkpoint that covers them was known to be stored. A writer that
 * was suspended for longer could create a deleted slot anew, where no reader looks. A write at a position that was
 * last confirmed more than half the retention time ago therefore counts only after the checkpoint was read. If the
 * checkpoint no longer shows whether an attempt that old took effect, its charges are answered with
 * {@link ChargeOutcome.Unresolved}.
 */
public final class ChargeLog {

    private ChargeLog() {}

    /**
     * Starts a writer.
     *
     * @param settings the parameters
     * @param nowMs the current time in milliseconds since the epoch
     * @return the first state and the order to read the checkpoint
     */
    public static Transition<ChargeLogState, ChargeLogCommand> start(ChargeLogSettings settings, long nowMs) {
        return Transition.of(ChargeLogState.initial(settings, nowMs), new ChargeLogCommand.ReadCheckpoint());
    }

    /**
     * Handles an event; events that do not fit the call waited for are ignored.
     *
     * @param state the state
     * @param event the event
     * @return the next state and the commands
     */
    public static Transition<ChargeLogState, ChargeLogCommand> handle(ChargeLogState state, ChargeLogEvent event) {
        if (event instanceof ChargeLogEvent.Append append) {
            return append(state, append);
        }
        if (event instanceof ChargeLogEvent.Tick tick) {
            return tick(state, tick.stamp());
        }
        if (event instanceof ChargeLogEvent.SlotRead read) {
            return SlotReads.present(state, read);
        }
        if (event instanceof ChargeLogEvent.SlotAbsent absent) {
            return SlotReads.absent(state, absent);
        }
        if (event instanceof ChargeLogEvent.SlotUnreadable unreadable) {
            return SlotReads.unreadable(state, unreadable);
        }
        if (event instanceof ChargeLogEvent.CheckpointRead read) {
            return Checkpoints.read(state, read);
        }
        if (event instanceof ChargeLogEvent.CheckpointUnreadable unreadable) {
            return Checkpoints.unreadable(state, unreadable);
        }
        if (event instanceof ChargeLogEvent.CheckpointStored stored) {
            return Checkpoints.stored(state, stored);
        }
        return SlotWrites.answered(state, event);
    }

    private static Transition<ChargeLogState, ChargeLogCommand> append(
            ChargeLogState state, ChargeLogEvent.Append event) {
        boolean recovered = !(state.phase() instanceof ChargePhase.LoadingCheckpoint
                || state.phase() instanceof ChargePhase.Recovering);
        CommittedCharge first =
                recovered ? state.ledger().find(event.entry().key()).orElse(null) : null;
        if (first != null) {
            return Transition.of(state, duplicate(event.correlation(), first));
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

    private static Transition<ChargeLogState, ChargeLogCommand> tick(ChargeLogState state, EventStamp stamp) {
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

    /** Plans the repetition of a failed call and tells all senders that are not told yet. */
    static Transition<ChargeLogState, ChargeLogCommand> platformFailed(ChargeLogState state, EventStamp stamp) {
        List<ChargeLogCommand> replies = new ArrayList<>();
        List<PendingCharge> waiting = new ArrayList<>(state.attemptCharges());
        waiting.addAll(state.queue().toList());
        for (PendingCharge charge : waiting) {
            if (!charge.held()) {
                replies.add(new ChargeLogCommand.Reply(charge.correlation(), new ChargeOutcome.Held()));
            }
        }
        ChargeLogState failed = replies.isEmpty()
                ? state
                : state.withPhase(state.phase().allHeld())
                        .withQueue(state.queue().allHeld());
        long retryAtMs = stamp.nowMs() + state.settings().retryMs();
        return new Transition<>(failed.withRetryAt(retryAtMs), replies);
    }

    static ChargeLogCommand duplicate(String correlation, CommittedCharge first) {
        return new ChargeLogCommand.Reply(correlation, new ChargeOutcome.Duplicate(first.entry()));
    }

    /** Appends the commands of a second step to those of a first one. */
    static Transition<ChargeLogState, ChargeLogCommand> after(
            List<ChargeLogCommand> earlier, Transition<ChargeLogState, ChargeLogCommand> next) {
        List<ChargeLogCommand> commands = new ArrayList<>(earlier);
        commands.addAll(next.commands());
        return new Transition<>(next.state(), commands);
    }
}
