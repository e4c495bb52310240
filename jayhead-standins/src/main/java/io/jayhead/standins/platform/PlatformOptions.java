package io.jayhead.standins.platform;

/**
 * Holds the limits of the platform stand-in.
 *
 * @param writesPerSecond the rate limit of writes
 * @param readsPerSecond the rate limit of reads; a watch counts once, however long it waits
 * @param vmLagMs the delay in milliseconds until the VM list shows a change
 * @param historyEntries the number of changes kept for watches
 */
public record PlatformOptions(int writesPerSecond, int readsPerSecond, long vmLagMs, int historyEntries) {

    /** Rejects limits below 1 and a negative lag. */
    public PlatformOptions {
        if (writesPerSecond < 1 || readsPerSecond < 1 || vmLagMs < 0 || historyEntries < 1) {
            throw new IllegalArgumentException("rates and history must be at least 1 and the lag not negative");
        }
    }
}
