package io.jayhead.settlement.charge;

import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads and writes the checkpoint of a partition and deletes the slots it makes superfluous. */
final class Checkpoints {

    private Checkpoints() {}

    static Transition<ChargeLogState, ChargeLogCommand> read(
            ChargeLogState state, ChargeLogEvent.CheckpointRead event) {
        if (state.phase() instanceof ChargePhase.LoadingCheckpoint loading) {
            return recover(state, event.checkpoint(), loading.issuedAtMs());
        }
        if (state.phase() instanceof ChargePhase.Verifying verifying) {
            return verify(state, verifying, event);
        }
        return Transition.of(state);
    }

    private static Transition<ChargeLogState, ChargeLogCommand> recover(
            ChargeLogState state, Optional<ChargeCheckpoint> checkpoint, long issuedAtMs) {
        ChargeLogState loaded = checkpoint
                .filter(read -> read.ledger().nextSlot() >= state.ledger().nextSlot())
                .map(read -> adopt(state, read))
                .orElse(state);
        return Transition.of(
                loaded.withPhase(new ChargePhase.Recovering()).withConfirmedAt(issuedAtMs),
                new ChargeLogCommand.ReadSlot(loaded.ledger().nextSlot()));
    }

    private static ChargeLogState adopt(ChargeLogState state, ChargeCheckpoint checkpoint) {
        return state.withLedger(checkpoint.ledger())
                .withMarks(state.marks(), checkpoint.ledger().nextSlot())
                .withDeletedBelow(Math.max(state.deletedBelow(), checkpoint.deletedBelow()));
    }

    private static Transition<ChargeLogState, ChargeLogCommand> verify(
            ChargeLogState state, ChargePhase.Verifying verifying, ChargeLogEvent.CheckpointRead event) {
        ChargePhase.Attempt attempt = verifying.attempt();
        Optional<ChargeCheckpoint> ahead =
                event.checkpoint().filter(read -> read.ledger().nextSlot() > attempt.slot());
        if (ahead.isEmpty()) {
            return SlotWrites.committed(state.withConfirmedAt(verifying.issuedAtMs()), attempt, event.stamp());
        }
        ChargeLedger ledger = ahead.get().ledger();
        boolean counted = attempt.batch().entries().stream()
                .flatMap(entry -> ledger.find(entry.key()).stream())
                .anyMatch(first -> first.slot() == attempt.slot());
        Transition<ChargeLogState, ChargeLogCommand> settled = counted
                ? new Transition<>(state.withPhase(new ChargePhase.Idle()), SlotWrites.replies(ledger, attempt))
                : SlotWrites.givenUp(state, attempt, event.stamp());
        return ChargeLog.after(settled.commands(), recover(settled.state(), ahead, verifying.issuedAtMs()));
    }

    static Transition<ChargeLogState, ChargeLogCommand> unreadable(
            ChargeLogState state, ChargeLogEvent.CheckpointUnreadable event) {
        boolean waiting = state.phase() instanceof ChargePhase.LoadingCheckpoint
                || state.phase() instanceof ChargePhase.Verifying;
        return waiting ? ChargeLog.platformFailed(state, event.stamp()) : Transition.of(state);
    }

    static Transition<ChargeLogState, ChargeLogCommand> writeIfDue(ChargeLogState state, EventStamp stamp) {
        long nextSlot = state.ledger().nextSlot();
        if (nextSlot - state.checkpointSlot() < state.settings().slotsPerCheckpoint()) {
            return Transition.of(state);
        }
        ChargeCheckpoint checkpoint = new ChargeCheckpoint(state.ledger(), state.deletedBelow());
        return Transition.of(
                state.withMarks(state.marks(), nextSlot), new ChargeLogCommand.WriteCheckpoint(checkpoint));
    }

    static Transition<ChargeLogState, ChargeLogCommand> stored(
            ChargeLogState state, ChargeLogEvent.CheckpointStored event) {
        long nowMinute = event.stamp().minute();
        long retainedSince = nowMinute - state.settings().retentionMinutes();
        List<CheckpointMark> marks = marks(state, event.checkpoint().ledger().nextSlot(), nowMinute);
        while (marks.size() > 1 && marks.get(1).minute() <= retainedSince) {
            marks.remove(0);
        }
        CheckpointMark oldest = marks.get(0);
        ChargeLogState known = state.withMarks(marks, state.checkpointSlot());
        if (oldest.minute() > retainedSince || oldest.nextSlot() <= state.deletedBelow()) {
            return Transition.of(known);
        }
        return Transition.of(
                known.withDeletedBelow(oldest.nextSlot()),
                new ChargeLogCommand.DeleteSlots(state.deletedBelow(), oldest.nextSlot()));
    }

    /** Adds at most one mark a minute, so that their number stays near the retention time in minutes. */
    private static List<CheckpointMark> marks(ChargeLogState state, long nextSlot, long nowMinute) {
        List<CheckpointMark> marks = new ArrayList<>(state.marks());
        if (marks.isEmpty() || marks.get(marks.size() - 1).minute() < nowMinute) {
            marks.add(new CheckpointMark(nextSlot, nowMinute));
        }
        return marks;
    }
}
