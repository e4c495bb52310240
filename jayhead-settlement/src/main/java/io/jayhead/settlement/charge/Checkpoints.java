package io.jayhead.settlement.charge;

import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Recovers from the checkpoint of a partition, replaces it and, one retention time later, deletes the slots that it
 * covers.
 */
final class Checkpoints {

    private Checkpoints() {}

    static Transition<ChargeLogState, ChargeLogCommand> handleCheckpointRead(
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
                .filter(stored -> stored.ledger().nextSlot() >= state.ledger().nextSlot())
                .map(stored -> adopt(state, stored))
                .orElse(state);
        return Transition.of(
                loaded.withPhase(new ChargePhase.Recovering()).withConfirmedAt(issuedAtMs),
                new ChargeLogCommand.ReadSlot(loaded.ledger().nextSlot()));
    }

    private static ChargeLogState adopt(ChargeLogState state, ChargeCheckpoint checkpoint) {
        return state.withLedger(checkpoint.ledger())
                .withCheckpoints(
                        state.confirmedCheckpoints(), checkpoint.ledger().nextSlot())
                .withDeletedBelow(Math.max(state.deletedBelow(), checkpoint.deletedBelow()));
    }

    private static Transition<ChargeLogState, ChargeLogCommand> verify(
            ChargeLogState state, ChargePhase.Verifying verifying, ChargeLogEvent.CheckpointRead event) {
        ChargePhase.Attempt attempt = verifying.attempt();
        Optional<ChargeCheckpoint> covering =
                event.checkpoint().filter(stored -> stored.ledger().nextSlot() > attempt.slot());
        if (covering.isEmpty()) {
            return SlotWrites.commit(state.withConfirmedAt(verifying.issuedAtMs()), attempt, event.stamp());
        }
        ChargeLedger ledger = covering.get().ledger();
        boolean attemptCounted = attempt.batch().entries().stream()
                .flatMap(entry -> ledger.find(entry.key()).stream())
                .anyMatch(firstCharge -> firstCharge.slot() == attempt.slot());
        Transition<ChargeLogState, ChargeLogCommand> resolved = attemptCounted
                ? new Transition<>(state.withPhase(new ChargePhase.Idle()), SlotWrites.replies(ledger, attempt))
                : SlotWrites.abandon(state, attempt, event.stamp());
        return ChargeLog.prependCommands(
                resolved.commands(), recover(resolved.state(), covering, verifying.issuedAtMs()));
    }

    static Transition<ChargeLogState, ChargeLogCommand> handleCheckpointUnreadable(
            ChargeLogState state, ChargeLogEvent.CheckpointUnreadable event) {
        boolean checkpointAwaited = state.phase() instanceof ChargePhase.LoadingCheckpoint
                || state.phase() instanceof ChargePhase.Verifying;
        return checkpointAwaited ? ChargeLog.handlePlatformFailure(state, event.stamp()) : Transition.of(state);
    }

    static Transition<ChargeLogState, ChargeLogCommand> writeIfDue(ChargeLogState state, EventStamp stamp) {
        long nextSlot = state.ledger().nextSlot();
        if (nextSlot - state.checkpointSlot() < state.settings().slotsPerCheckpoint()) {
            return Transition.of(state);
        }
        ChargeCheckpoint checkpoint = new ChargeCheckpoint(state.ledger(), state.deletedBelow());
        return Transition.of(
                state.withCheckpoints(state.confirmedCheckpoints(), nextSlot),
                new ChargeLogCommand.WriteCheckpoint(checkpoint));
    }

    static Transition<ChargeLogState, ChargeLogCommand> handleCheckpointStored(
            ChargeLogState state, ChargeLogEvent.CheckpointStored event) {
        long nowMinute = event.stamp().minute();
        long retainedSince = nowMinute - state.settings().retentionMinutes();
        List<ConfirmedCheckpoint> confirmed =
                addConfirmed(state, event.checkpoint().ledger().nextSlot(), nowMinute);
        while (confirmed.size() > 1 && confirmed.get(1).minute() <= retainedSince) {
            confirmed.remove(0);
        }
        ConfirmedCheckpoint oldest = confirmed.get(0);
        ChargeLogState updated = state.withCheckpoints(confirmed, state.checkpointSlot());
        if (oldest.minute() > retainedSince || oldest.nextSlot() <= state.deletedBelow()) {
            return Transition.of(updated);
        }
        return Transition.of(
                updated.withDeletedBelow(oldest.nextSlot()),
                new ChargeLogCommand.DeleteSlots(state.deletedBelow(), oldest.nextSlot()));
    }

    /**
     * Adds at most one checkpoint a minute, so that the list has about as many elements as the retention has minutes.
     */
    private static List<ConfirmedCheckpoint> addConfirmed(ChargeLogState state, long nextSlot, long nowMinute) {
        List<ConfirmedCheckpoint> confirmed = new ArrayList<>(state.confirmedCheckpoints());
        if (confirmed.isEmpty() || confirmed.get(confirmed.size() - 1).minute() < nowMinute) {
            confirmed.add(new ConfirmedCheckpoint(nextSlot, nowMinute));
        }
        return confirmed;
    }
}
