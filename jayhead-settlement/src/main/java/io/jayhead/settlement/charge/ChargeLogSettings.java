package io.jayhead.settlement.charge;

/**
 * Holds the parameters of a charge log.
 *
 * @param maxBatchEntries the most entries in a slot
 * @param lingerMs how long a first entry waits for others
 * @param retryMs how long a failed call to the platform waits for its repetition
 * @param retentionMinutes how long keys are kept to recognise duplicates, and covered slots before deletion
 * @param slotsPerCheckpoint how many slots are written between two checkpoints
 */
public record ChargeLogSettings(
        int maxBatchEntries, long lingerMs, long retryMs, long retentionMinutes, int slotsPerCheckpoint) {

    private static final long MS_PER_MINUTE = 60_000;

    /** Checks the bounds. */
    public ChargeLogSettings {
        if (maxBatchEntries < 1 || lingerMs < 0 || retryMs < 1 || retentionMinutes < 1 || slotsPerCheckpoint < 1) {
            throw new IllegalArgumentException("charge log settings out of range");
        }
    }

    /**
     * Returns the settings for normal operation.
     *
     * @return 512 entries, 10 ms linger, 500 ms to a repetition, 60 minutes, 64 slots
     */
    public static ChargeLogSettings standard() {
        return new ChargeLogSettings(512, 10, 500, 60, 64);
    }

    /**
     * Returns how long a confirmed position stays trustworthy: half the retention, which leaves the other half for
     * clock differences between routers and for delayed checkpoint writes.
     */
    long staleAfterMs() {
        return retentionMinutes * MS_PER_MINUTE / 2;
    }
}
