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
        long oldestMark = checkpoint.marks().stream()
                .mapToLong(CheckpointMark::nextSlot)
                .min()
                .orElse(0);
        return state.withLedger(checkpoint.ledger())
                .withMarks(checkpoint.marks(), checkpoint.ledger().nextSlot())
                .withDeletedBelow(Math.max(state.deletedBelow(), oldestMark));
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
        List<CheckpointMark> marks = marks(state, stamp.minute());
        ChargeCheckpoint checkpoint = new ChargeCheckpoint(state.ledger(), marks);
        return Transition.of(
                state.withMarks(state.marks(), nextSlot), new ChargeLogCommand.WriteCheckpoint(checkpoint));
    }

    /** Adds at most one mark a minute, so that their number stays near the retention time in minutes. */
    private static List<CheckpointMark> marks(ChargeLogState state, long nowMinute) {
        List<CheckpointMark> marks = new ArrayList<>(state.marks());
        if (marks.isEmpty() || marks.get(marks.size() - 1).minute() < nowMinute) {
            marks.add(new CheckpointMark(state.ledger().nextSlot(), nowMinute));
        }
        long retainedSince = nowMinute - state.settings().retentionMinutes();
        while (marks.size() > 1 && marks.get(1).minute() <= retainedSince) {
            marks.remove(0);
        }
        return marks;
    }

    static Transition<ChargeLogState, ChargeLogCommand> stored(
            ChargeLogState state, ChargeLogEvent.CheckpointStored event) {
        long retentionMinutes = state.settings().retentionMinutes();
        long keptFrom = event.checkpoint().deletableBelow(event.stamp().minute(), retentionMinutes);
        ChargeLogState known = state.withMarks(event.checkpoint().marks(), state.checkpointSlot());
        if (keptFrom <= state.deletedBelow()) {
            return Transition.of(known);
        }
        return Transition.of(
                known.withDeletedBelow(keptFrom), new ChargeLogCommand.DeleteSlots(state.deletedBelow(), keptFrom));
    }
}
