package io.jayhead.settlement.charge;

import java.util.List;

/**
 * Holds the state of one partition at one writer; immutable.
 *
 * @param settings the parameters
 * @param ledger what the known slots add up to
 * @param phase the call that is waited for
 * @param queue the charges that are in no attempt
 * @param lingerUntilMs when the first queued charge is written at the latest
 * @param retryAtMs when the call of the phase is repeated; 0 while it is under way or not needed
 * @param confirmedAtMs when the position was last known not to be deleted
 * @param marks the checkpoints that were confirmed as stored, oldest first
 * @param checkpointSlot the next slot of the last checkpoint read or ordered
 * @param deletedBelow the slots below were ordered to be deleted
 */
public record ChargeLogState(
        ChargeLogSettings settings,
        ChargeLedger ledger,
        ChargePhase phase,
        PendingQueue queue,
        long lingerUntilMs,
        long retryAtMs,
        long confirmedAtMs,
        List<CheckpointMark> marks,
        long checkpointSlot,
        long deletedBelow) {

    /**
     * Returns the state of a writer that knows nothing of the log yet.
     *
     * @param settings the parameters
     * @param nowMs the current time
     * @return the state, which waits for the checkpoint
     */
    static ChargeLogState initial(ChargeLogSettings settings, long nowMs) {
        return new ChargeLogState(
                settings,
                ChargeLedger.empty(settings.retentionMinutes()),
                new ChargePhase.LoadingCheckpoint(nowMs),
                PendingQueue.empty(),
                0,
                0,
                0,
                List.of(),
                0,
                0);
    }

    /**
     * Returns how many charges are not committed.
     *
     * @return queued charges and those of the attempt under way
     */
    public int pendingCharges() {
        return queue.size() + attemptCharges().size();
    }

    /**
     * Tells whether the last call to the platform failed and is not repeated yet.
     *
     * @return true from a failed call to its repetition
     */
    public boolean platformDown() {
        return retryAtMs > 0;
    }

    /** Tells whether the position was confirmed so long ago that its slots may have been deleted. */
    boolean stale(EventStamp stamp) {
        return stamp.nowMs() - confirmedAtMs >= settings.staleAfterMs();
    }

    List<PendingCharge> attemptCharges() {
        if (phase instanceof ChargePhase.Writing writing) {
            return writing.attempt().charges();
        }
        if (phase instanceof ChargePhase.ReadingBack reading) {
            return reading.attempt().charges();
        }
        return phase instanceof ChargePhase.Verifying verifying
                ? verifying.attempt().charges()
                : List.of();
    }

    ChargeLogState withPhase(ChargePhase next) {
        return new ChargeLogState(
                settings, ledger, next, queue, lingerUntilMs, 0, confirmedAtMs, marks, checkpointSlot, deletedBelow);
    }

    ChargeLogState withRetryAt(long nextMs) {
        return new ChargeLogState(
                settings,
                ledger,
                phase,
                queue,
                lingerUntilMs,
                nextMs,
                confirmedAtMs,
                marks,
                checkpointSlot,
                deletedBelow);
    }

    ChargeLogState withLedger(ChargeLedger next) {
        return new ChargeLogState(
                settings,
                next,
                phase,
                queue,
                lingerUntilMs,
                retryAtMs,
                confirmedAtMs,
                marks,
                checkpointSlot,
                deletedBelow);
    }

    ChargeLogState withQueue(PendingQueue next) {
        return new ChargeLogState(
                settings,
                ledger,
                phase,
                next,
                lingerUntilMs,
                retryAtMs,
                confirmedAtMs,
                marks,
                checkpointSlot,
                deletedBelow);
    }

    ChargeLogState withLingerUntil(long nextMs) {
        return new ChargeLogState(
                settings, ledger, phase, queue, nextMs, retryAtMs, confirmedAtMs, marks, checkpointSlot, deletedBelow);
    }

    ChargeLogState withConfirmedAt(long nextMs) {
        return new ChargeLogState(
                settings, ledger, phase, queue, lingerUntilMs, retryAtMs, nextMs, marks, checkpointSlot, deletedBelow);
    }

    ChargeLogState withMarks(List<CheckpointMark> next, long nextCheckpointSlot) {
        return new ChargeLogState(
                settings,
                ledger,
                phase,
                queue,
                lingerUntilMs,
                retryAtMs,
                confirmedAtMs,
                List.copyOf(next),
                nextCheckpointSlot,
                deletedBelow);
    }

    ChargeLogState withDeletedBelow(long next) {
        return new ChargeLogState(
                settings, ledger, phase, queue, lingerUntilMs, retryAtMs, confirmedAtMs, marks, checkpointSlot, next);
    }
}
