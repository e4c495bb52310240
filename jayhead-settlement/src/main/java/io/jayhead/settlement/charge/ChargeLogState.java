package io.jayhead.settlement.charge;

import java.util.List;

/**
 * Holds the state that one writer keeps of a partition; immutable.
 *
 * @param settings the parameters
 * @param ledger the totals and recent charges of all known slots: those that the checkpoint covers and those read or
 *     written since
 * @param phase the platform call that the writer waits for, if any
 * @param queue the charges that are not part of the current write attempt
 * @param lingerUntilMs when the queue is written even if it does not fill a batch, in milliseconds since the epoch
 * @param retryAtMs when the failed call of the phase is retried, in milliseconds since the epoch; 0 while a call
 *     is in progress or no retry is needed
 * @param confirmedAtMs when the next slot was last known to be beyond all deleted slots, in milliseconds since the
 *     epoch
 * @param confirmedCheckpoints the checkpoints that are known to be stored, oldest first
 * @param checkpointSlot the next slot of the last checkpoint that was read or whose write was issued
 * @param deletedBelow the slot below which the deletion of all slots was issued
 */
public record ChargeLogState(
        ChargeLogSettings settings,
        ChargeLedger ledger,
        ChargePhase phase,
        PendingQueue queue,
        long lingerUntilMs,
        long retryAtMs,
        long confirmedAtMs,
        List<ConfirmedCheckpoint> confirmedCheckpoints,
        long checkpointSlot,
        long deletedBelow) {

    /**
     * Returns the state of a writer that has not read the log yet.
     *
     * @param settings the parameters
     * @param nowMs the current time in milliseconds since the epoch
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
     * Returns the number of charges that are not committed yet.
     *
     * @return the number of queued charges and charges of the current write attempt
     */
    public int pendingCharges() {
        return queue.size() + attemptCharges().size();
    }

    /**
     * Tells whether the last call to the platform failed and was not retried yet.
     *
     * @return true from a failed call until its retry
     */
    public boolean platformDown() {
        return retryAtMs > 0;
    }

    /** Tells whether the next slot was confirmed so long ago that it may have been created and deleted since. */
    boolean positionStale(EventStamp stamp) {
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
                settings,
                ledger,
                next,
                queue,
                lingerUntilMs,
                0,
                confirmedAtMs,
                confirmedCheckpoints,
                checkpointSlot,
                deletedBelow);
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
                confirmedCheckpoints,
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
                confirmedCheckpoints,
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
                confirmedCheckpoints,
                checkpointSlot,
                deletedBelow);
    }

    ChargeLogState withLingerUntil(long nextMs) {
        return new ChargeLogState(
                settings,
                ledger,
                phase,
                queue,
                nextMs,
                retryAtMs,
                confirmedAtMs,
                confirmedCheckpoints,
                checkpointSlot,
                deletedBelow);
    }

    ChargeLogState withConfirmedAt(long nextMs) {
        return new ChargeLogState(
                settings,
                ledger,
                phase,
                queue,
                lingerUntilMs,
                retryAtMs,
                nextMs,
                confirmedCheckpoints,
                checkpointSlot,
                deletedBelow);
    }

    ChargeLogState withCheckpoints(List<ConfirmedCheckpoint> next, long nextCheckpointSlot) {
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
                settings,
                ledger,
                phase,
                queue,
                lingerUntilMs,
                retryAtMs,
                confirmedAtMs,
                confirmedCheckpoints,
                checkpointSlot,
                next);
    }
}
