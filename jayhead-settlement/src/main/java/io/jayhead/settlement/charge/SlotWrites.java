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

/** Starts slot writes and handles their results. */
final class SlotWrites {

    private SlotWrites() {}

    /**
     * Starts a write if no call is in progress or waits for its retry, and the queue fills a batch or its linger time
     * is over.
     */
    static Transition<ChargeLogState, ChargeLogCommand> startIfDue(ChargeLogState state, EventStamp stamp) {
        int queuedCharges = state.queue().size();
        boolean due = queuedCharges >= state.settings().maxBatchEntries() || stamp.nowMs() >= state.lingerUntilMs();
        if (!(state.phase() instanceof ChargePhase.Idle) || state.platformDown() || queuedCharges == 0 || !due) {
            return Transition.of(state);
        }
        return start(state, stamp);
    }

    private static Transition<ChargeLogState, ChargeLogCommand> start(ChargeLogState state, EventStamp stamp) {
        List<PendingCharge> dequeued = state.queue().first(state.settings().maxBatchEntries());
        ChargeLogState remaining = state.withQueue(state.queue().withoutFirst(dequeued.size()));
        List<ChargeLogCommand> commands = new ArrayList<>();
        List<PendingCharge> charges = new ArrayList<>();
        Map<RequestKey, ChargeEntry> entries = new LinkedHashMap<>();
        for (PendingCharge charge : dequeued) {
            Optional<CommittedCharge> firstCharge =
                    state.ledger().find(charge.entry().key());
            if (firstCharge.isPresent()) {
                commands.add(ChargeLog.duplicateReply(charge.correlation(), firstCharge.get()));
                continue;
            }
            charges.add(charge);
            entries.putIfAbsent(charge.entry().key(), charge.entry());
        }
        if (entries.isEmpty()) {
            return ChargeLog.prependCommands(commands, startIfDue(remaining, stamp));
        }
        long slot = state.ledger().nextSlot();
        long minute = Math.max(stamp.minute(), state.ledger().latestMinute());
        ChargeBatch batch = new ChargeBatch(stamp.batchNonce(), minute, List.copyOf(entries.values()));
        ChargePhase.Attempt attempt = new ChargePhase.Attempt(slot, batch, charges, stamp.nowMs());
        commands.add(new ChargeLogCommand.WriteSlot(slot, batch));
        return new Transition<>(remaining.withPhase(new ChargePhase.Writing(attempt, false)), commands);
    }

    static Transition<ChargeLogState, ChargeLogCommand> handleWriteResult(ChargeLogState state, ChargeLogEvent event) {
        if (!(state.phase() instanceof ChargePhase.Writing writing)) {
            return Transition.of(state);
        }
        ChargePhase.Attempt attempt = writing.attempt();
        if (event instanceof ChargeLogEvent.SlotWritten written && written.slot() == attempt.slot()) {
            return handleOwnBatch(state, attempt, written.stamp());
        }
        if (event instanceof ChargeLogEvent.SlotConflict conflict && conflict.slot() == attempt.slot()) {
            return readBack(state, attempt, true);
        }
        if (event instanceof ChargeLogEvent.SlotWriteUnanswered unanswered && unanswered.slot() == attempt.slot()) {
            return readBack(state, attempt, false);
        }
        if (event instanceof ChargeLogEvent.SlotNotWritten refused && refused.slot() == attempt.slot()) {
            // An earlier unanswered write may have created the slot or may still do so; the batch must not move to
            // another slot.
            ChargeLogState next = writing.uncertain()
                    ? state.withPhase(new ChargePhase.ReadingBack(attempt, false))
                    : requeue(state, attempt);
            return ChargeLog.handlePlatformFailure(next, refused.stamp());
        }
        return Transition.of(state);
    }

    private static Transition<ChargeLogState, ChargeLogCommand> readBack(
            ChargeLogState state, ChargePhase.Attempt attempt, boolean conflict) {
        return Transition.of(
                state.withPhase(new ChargePhase.ReadingBack(attempt, conflict)),
                new ChargeLogCommand.ReadSlot(attempt.slot()));
    }

    /** Commits a batch that the slot is known to contain; at a stale position, reads the checkpoint first. */
    static Transition<ChargeLogState, ChargeLogCommand> handleOwnBatch(
            ChargeLogState state, ChargePhase.Attempt attempt, EventStamp stamp) {
        if (state.positionStale(stamp)) {
            return Transition.of(
                    state.withPhase(new ChargePhase.Verifying(attempt, stamp.nowMs())),
                    new ChargeLogCommand.ReadCheckpoint());
        }
        return commit(state.withConfirmedAt(attempt.startedAtMs()), attempt, stamp);
    }

    static Transition<ChargeLogState, ChargeLogCommand> commit(
            ChargeLogState state, ChargePhase.Attempt attempt, EventStamp stamp) {
        ChargeLedger ledger = state.ledger().plus(attempt.batch());
        List<ChargeLogCommand> commands = new ArrayList<>(replies(ledger, attempt));
        ChargeLogState next = state.withLedger(ledger).withPhase(new ChargePhase.Idle());
        Transition<ChargeLogState, ChargeLogCommand> checkpointed = Checkpoints.writeIfDue(next, stamp);
        commands.addAll(checkpointed.commands());
        return ChargeLog.prependCommands(commands, startIfDue(checkpointed.state(), stamp));
    }

    static List<ChargeLogCommand> replies(ChargeLedger ledger, ChargePhase.Attempt attempt) {
        List<ChargeLogCommand> replies = new ArrayList<>();
        Set<RequestKey> answeredKeys = new HashSet<>();
        for (PendingCharge charge : attempt.charges()) {
            CommittedCharge firstCharge = ledger.find(charge.entry().key()).orElseThrow();
            boolean committedHere = firstCharge.slot() == attempt.slot()
                    && answeredKeys.add(firstCharge.entry().key());
            replies.add(
                    committedHere
                            ? new ChargeLogCommand.Reply(
                                    charge.correlation(), new ChargeOutcome.Committed(attempt.slot()))
                            : ChargeLog.duplicateReply(charge.correlation(), firstCharge));
        }
        return replies;
    }

    /**
     * Abandons an attempt that either is not in the log or is contained in the ledger that is reloaded next. The
     * charges of a recent attempt are queued again; the reloaded ledger shows whether they are duplicates. The keys of
     * an older attempt may have left the duplicate window, so its charges are not written again, because that could
     * bill them twice.
     */
    static Transition<ChargeLogState, ChargeLogCommand> abandon(
            ChargeLogState state, ChargePhase.Attempt attempt, EventStamp stamp) {
        if (stamp.nowMs() - attempt.startedAtMs() < state.settings().staleAfterMs()) {
            return Transition.of(requeue(state, attempt));
        }
        List<ChargeLogCommand> replies = new ArrayList<>();
        for (PendingCharge charge : attempt.charges()) {
            replies.add(new ChargeLogCommand.Reply(charge.correlation(), new ChargeOutcome.Unresolved(attempt.slot())));
        }
        return new Transition<>(state.withPhase(new ChargePhase.Idle()), replies);
    }

    /**
     * Ends an attempt that is not in the log, or that the ledger reloaded next shows as committed; its charges go first
     * in the next batch.
     */
    static ChargeLogState requeue(ChargeLogState state, ChargePhase.Attempt attempt) {
        return state.withQueue(state.queue().prependAll(attempt.charges())).withPhase(new ChargePhase.Idle());
    }
}
