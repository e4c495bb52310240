package io.jayhead.settlement.charge;

import io.jayhead.model.Transition;

/** Handles the results of slot reads, in recovery and after writes whose effect is unclear. */
final class SlotReads {

    private SlotReads() {}

    static Transition<ChargeLogState, ChargeLogCommand> handleSlotRead(
            ChargeLogState state, ChargeLogEvent.SlotRead event) {
        if (event.slot() != state.ledger().nextSlot()) {
            return Transition.of(state);
        }
        if (state.phase() instanceof ChargePhase.Recovering && state.positionStale(event.stamp())) {
            return reloadCheckpoint(state, event.stamp());
        }
        if (state.phase() instanceof ChargePhase.Recovering) {
            ChargeLedger ledger = state.ledger().plus(event.batch());
            return Transition.of(
                    state.withLedger(ledger).withRetryAt(0), new ChargeLogCommand.ReadSlot(ledger.nextSlot()));
        }
        if (!(state.phase() instanceof ChargePhase.ReadingBack reading)) {
            return Transition.of(state);
        }
        ChargePhase.Attempt attempt = reading.attempt();
        if (event.batch().nonce().equals(attempt.batch().nonce())) {
            return SlotWrites.handleOwnBatch(state, attempt, event.stamp());
        }
        if (state.positionStale(event.stamp())) {
            return abandonAndReload(state, attempt, event.stamp());
        }
        ChargeLogState requeued =
                SlotWrites.requeue(state, attempt).withLedger(state.ledger().plus(event.batch()));
        return SlotWrites.startIfDue(requeued, event.stamp());
    }

    static Transition<ChargeLogState, ChargeLogCommand> handleSlotAbsent(
            ChargeLogState state, ChargeLogEvent.SlotAbsent event) {
        if (event.slot() != state.ledger().nextSlot()) {
            return Transition.of(state);
        }
        if (state.phase() instanceof ChargePhase.Recovering) {
            return SlotWrites.startIfDue(state.withPhase(new ChargePhase.Idle()), event.stamp());
        }
        if (!(state.phase() instanceof ChargePhase.ReadingBack reading)) {
            return Transition.of(state);
        }
        if (reading.conflict()) {
            // The slot existed and was deleted since, so a newer checkpoint covers it.
            return abandonAndReload(state, reading.attempt(), event.stamp());
        }
        ChargePhase.Attempt attempt = reading.attempt();
        return Transition.of(
                state.withPhase(new ChargePhase.Writing(attempt, true)),
                new ChargeLogCommand.WriteSlot(attempt.slot(), attempt.batch()));
    }

    static Transition<ChargeLogState, ChargeLogCommand> handleSlotUnreadable(
            ChargeLogState state, ChargeLogEvent.SlotUnreadable event) {
        boolean slotAwaited =
                state.phase() instanceof ChargePhase.Recovering || state.phase() instanceof ChargePhase.ReadingBack;
        return slotAwaited && event.slot() == state.ledger().nextSlot()
                ? ChargeLog.handlePlatformFailure(state, event.stamp())
                : Transition.of(state);
    }

    private static Transition<ChargeLogState, ChargeLogCommand> abandonAndReload(
            ChargeLogState state, ChargePhase.Attempt attempt, EventStamp stamp) {
        Transition<ChargeLogState, ChargeLogCommand> abandoned = SlotWrites.abandon(state, attempt, stamp);
        return ChargeLog.prependCommands(abandoned.commands(), reloadCheckpoint(abandoned.state(), stamp));
    }

    /**
     * Restarts recovery from the checkpoint, because the next slot may have been deleted since the position was last
     * confirmed. If a writer has created it again, new readers do not see its content.
     */
    private static Transition<ChargeLogState, ChargeLogCommand> reloadCheckpoint(
            ChargeLogState state, EventStamp stamp) {
        return Transition.of(
                state.withPhase(new ChargePhase.LoadingCheckpoint(stamp.nowMs())),
                new ChargeLogCommand.ReadCheckpoint());
    }
}
