package io.jayhead.settlement.charge;

/**
 * Holds the parameters of a charge log.
 *
 * @param maxBatchEntries the maximum number of entries in a slot, at least 1
 * @param lingerMs how long the first queued entry waits for others before a batch is written, in milliseconds; may be 0
 * @param retryMs the delay before a failed platform call is retried, in milliseconds, at least 1
 * @param retentionMinutes how long keys are kept to detect duplicates, and slots that a checkpoint covers until they
 *     are deleted; at least 1
 * @param slotsPerCheckpoint the number of slots between two checkpoints, at least 1
 */
public record ChargeLogSettings(
        int maxBatchEntries, long lingerMs, long retryMs, long retentionMinutes, int slotsPerCheckpoint) {

    private static final long MS_PER_MINUTE = 60_000;

    /** Checks the ranges. */
    public ChargeLogSettings {
        if (maxBatchEntries < 1 || lingerMs < 0 || retryMs < 1 || retentionMinutes < 1 || slotsPerCheckpoint < 1) {
            throw new IllegalArgumentException("charge log settings must be positive; only lingerMs may be 0");
        }
    }

    /**
     * Returns the settings for normal operation.
     *
     * @return 512 entries, 10 ms linger time, 500 ms retry delay, 60 minutes retention, 64 slots per checkpoint
     */
    public static ChargeLogSettings standard() {
        return new ChargeLogSettings(512, 10, 500, 60, 64);
    }

    /**
     * Returns the time after which a confirmed position is stale. This is half the retention; the other half is left
     * for clock differences between routers and for delayed checkpoint writes.
     */
    long staleAfterMs() {
        return retentionMinutes * MS_PER_MINUTE / 2;
    }
}
