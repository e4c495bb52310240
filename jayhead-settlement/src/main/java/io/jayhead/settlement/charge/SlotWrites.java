package io.jayhead.settlement.charge;

import io.jayhead.model.RequestKey;
import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Starts writes of slots and handles their answers. */
final class SlotWrites {

    private SlotWrites() {}

    /** Starts a write if none is under way and the batch is full or its linger time is over. */
    static Transition<ChargeLogState, ChargeLogCommand> startIfDue(ChargeLogState state, EventStamp stamp) {
        int waiting = state.queue().size();
        boolean due = waiting >= state.settings().maxBatchEntries() || stamp.nowMs() >= state.lingerUntilMs();
        if (!(state.phase() instanceof ChargePhase.Idle) || state.platformDown() || waiting == 0 || !due) {
            return Transition.of(state);
        }
        return start(state, stamp);
    }

    private static Transition<ChargeLogState, ChargeLogCommand> start(ChargeLogState state, EventStamp stamp) {
        List<PendingCharge> taken = state.queue().first(state.settings().maxBatchEntries());
        ChargeLogState rest = state.withQueue(state.queue().without(taken.size()));
        List<ChargeLogCommand> commands = new ArrayList<>();
        List<PendingCharge> charges = new ArrayList<>();
        Map<RequestKey, ChargeEntry> entries = new LinkedHashMap<>();
        for (PendingCharge charge : taken) {
            Optional<CommittedCharge> first = state.ledger().find(charge.entry().key());
            if (first.isPresent()) {
                commands.add(ChargeLog.duplicate(charge.correlation(), first.get()));
                continue;
            }
            charges.add(charge);
            entries.putIfAbsent(charge.entry().key(), charge.entry());
        }
        if (entries.isEmpty()) {
            return ChargeLog.after(commands, startIfDue(rest, stamp));
        }
        long slot = state.ledger().nextSlot();
        long minute = Math.max(stamp.minute(), state.ledger().latestMinute());
        ChargeBatch batch = new ChargeBatch(stamp.batchNonce(), minute, List.copyOf(entries.values()));
        ChargePhase.Attempt attempt = new ChargePhase.Attempt(slot, batch, charges, stamp.nowMs());
        commands.add(new ChargeLogCommand.WriteSlot(slot, batch));
        return new Transition<>(rest.withPhase(new ChargePhase.Writing(attempt, false)), commands);
    }

    static Transition<ChargeLogState, ChargeLogCommand> answered(ChargeLogState state, ChargeLogEvent event) {
        if (!(state.phase() instanceof ChargePhase.Writing writing)) {
            return Transition.of(state);
        }
        ChargePhase.Attempt attempt = writing.attempt();
        if (event instanceof ChargeLogEvent.SlotWritten written && written.slot() == attempt.slot()) {
            return found(state, attempt, written.stamp());
        }
        if (event instanceof ChargeLogEvent.SlotConflict conflict && conflict.slot() == attempt.slot()) {
            return readBack(state, attempt, true);
        }
        if (event instanceof ChargeLogEvent.SlotUnknown unknown && unknown.slot() == attempt.slot()) {
            return readBack(state, attempt, false);
        }
        if (event instanceof ChargeLogEvent.SlotNotWritten refused && refused.slot() == attempt.slot()) {
            // After an unanswered write the slot may still contain the batch, so it stays bound to the slot.
            ChargeLogState next = writing.uncertain()
                    ? state.withPhase(new ChargePhase.ReadingBack(attempt, false))
                    : requeued(state, attempt);
            return ChargeLog.platformFailed(next, refused.stamp());
        }
        return Transition.of(state);
    }

    private static Transition<ChargeLogState, ChargeLogCommand> readBack(
            ChargeLogState state, ChargePhase.Attempt attempt, boolean conflict) {
        return Transition.of(
                state.withPhase(new ChargePhase.ReadingBack(attempt, conflict)),
                new ChargeLogCommand.ReadSlot(attempt.slot()));
    }

    /** Handles that a slot contains the batch of this writer. */
    static Transition<ChargeLogState, ChargeLogCommand> found(
            ChargeLogState state, ChargePhase.Attempt attempt, EventStamp stamp) {
        if (state.stale(stamp)) {
            return Transition.of(
                    state.withPhase(new ChargePhase.Verifying(attempt, stamp.nowMs())),
                    new ChargeLogCommand.ReadCheckpoint());
        }
        return committed(state.withConfirmedAt(attempt.startedAtMs()), attempt, stamp);
    }

    static Transition<ChargeLogState, ChargeLogCommand> committed(
            ChargeLogState state, ChargePhase.Attempt attempt, EventStamp stamp) {
        ChargeLedger ledger = state.ledger().plus(attempt.batch());
        List<ChargeLogCommand> commands = new ArrayList<>(replies(ledger, attempt));
        ChargeLogState next = state.withLedger(ledger).withPhase(new ChargePhase.Idle());
        Transition<ChargeLogState, ChargeLogCommand> checkpointed = Checkpoints.writeIfDue(next, stamp);
        commands.addAll(checkpointed.commands());
        return ChargeLog.after(commands, startIfDue(checkpointed.state(), stamp));
    }

    static List<ChargeLogCommand> replies(ChargeLedger ledger, ChargePhase.Attempt attempt) {
        List<ChargeLogCommand> replies = new ArrayList<>();
        Set<RequestKey> answered = new HashSet<>();
        for (PendingCharge charge : attempt.charges()) {
            CommittedCharge first = ledger.find(charge.entry().key()).orElseThrow();
            boolean own =
                    first.slot() == attempt.slot() && answered.add(first.entry().key());
            replies.add(
                    own
                            ? new ChargeLogCommand.Reply(
                                    charge.correlation(), new ChargeOutcome.Committed(attempt.slot()))
                            : ChargeLog.duplicate(charge.correlation(), first));
        }
        return replies;
    }

    /**
     * Gives up an attempt that the reloaded ledger either shows or that is not in the log. If the attempt is so old
     * that its keys may have left the window, neither can be told and its charges are not written again.
     */
    static Transition<ChargeLogState, ChargeLogCommand> givenUp(
            ChargeLogState state, ChargePhase.Attempt attempt, EventStamp stamp) {
        if (stamp.nowMs() - attempt.startedAtMs() < state.settings().staleAfterMs()) {
            return Transition.of(requeued(state, attempt));
        }
        List<ChargeLogCommand> replies = new ArrayList<>();
        for (PendingCharge charge : attempt.charges()) {
            replies.add(new ChargeLogCommand.Reply(charge.correlation(), new ChargeOutcome.Unresolved(attempt.slot())));
        }
        return new Transition<>(state.withPhase(new ChargePhase.Idle()), replies);
    }

    /** Gives up an attempt that is certainly not in the log; its charges go first in the next batch. */
    static ChargeLogState requeued(ChargeLogState state, ChargePhase.Attempt attempt) {
        return state.withQueue(state.queue().plusFirst(attempt.charges())).withPhase(new ChargePhase.Idle());
    }
}
