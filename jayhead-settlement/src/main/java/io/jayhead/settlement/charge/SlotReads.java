package io.jayhead.settlement.charge;

import io.jayhead.model.Transition;

/** Handles the answers to reads of slots. */
final class SlotReads {

    private SlotReads() {}

    static Transition<ChargeLogState, ChargeLogCommand> present(ChargeLogState state, ChargeLogEvent.SlotRead event) {
        if (event.slot() != state.ledger().nextSlot()) {
            return Transition.of(state);
        }
        if (state.phase() instanceof ChargePhase.Recovering && state.stale(event.stamp())) {
            return reload(state, event.stamp());
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
            return SlotWrites.found(state, attempt, event.stamp());
        }
        if (state.stale(event.stamp())) {
            return giveUpAndReload(state, attempt, event.stamp());
        }
        ChargeLogState lost =
                SlotWrites.requeued(state, attempt).withLedger(state.ledger().plus(event.batch()));
        return SlotWrites.startIfDue(lost, event.stamp());
    }

    static Transition<ChargeLogState, ChargeLogCommand> absent(ChargeLogState state, ChargeLogEvent.SlotAbsent event) {
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
            // The slot existed and was deleted since, so the position is below the checkpoint.
            return giveUpAndReload(state, reading.attempt(), event.stamp());
        }
        ChargePhase.Attempt attempt = reading.attempt();
        return Transition.of(
                state.withPhase(new ChargePhase.Writing(attempt, true)),
                new ChargeLogCommand.WriteSlot(attempt.slot(), attempt.batch()));
    }

    static Transition<ChargeLogState, ChargeLogCommand> unreadable(
            ChargeLogState state, ChargeLogEvent.SlotUnreadable event) {
        boolean waiting =
                state.phase() instanceof ChargePhase.Recovering || state.phase() instanceof ChargePhase.ReadingBack;
        return waiting && event.slot() == state.ledger().nextSlot()
                ? ChargeLog.platformFailed(state, event.stamp())
                : Transition.of(state);
    }

    private static Transition<ChargeLogState, ChargeLogCommand> giveUpAndReload(
            ChargeLogState state, ChargePhase.Attempt attempt, EventStamp stamp) {
        Transition<ChargeLogState, ChargeLogCommand> given = SlotWrites.givenUp(state, attempt, stamp);
        return ChargeLog.after(given.commands(), reload(given.state(), stamp));
    }

    /** Starts again from the checkpoint; a slot read at a stale position may be one created anew after deletion. */
    private static Transition<ChargeLogState, ChargeLogCommand> reload(ChargeLogState state, EventStamp stamp) {
        return Transition.of(
                state.withPhase(new ChargePhase.LoadingCheckpoint(stamp.nowMs())),
                new ChargeLogCommand.ReadCheckpoint());
    }
}
