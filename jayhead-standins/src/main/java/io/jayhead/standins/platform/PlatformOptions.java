package io.jayhead.standins.platform;

/**
 * Holds the limits of the platform stand-in.
 *
 * @param writesPerSecond accepted writes per second
 * @param readsPerSecond accepted reads per second; a waiting watch counts as one
 * @param vmLagMs how late the VM list shows a change
 * @param historyEntries how many changes are held for watches
 */
public record PlatformOptions(int writesPerSecond, int readsPerSecond, long vmLagMs, int historyEntries) {

    /** Checks the limits. */
    public PlatformOptions {
        if (writesPerSecond < 1 || readsPerSecond < 1 || vmLagMs < 0 || historyEntries < 1) {
            throw new IllegalArgumentException("rates and history must be at least 1 and the lag not negative");
        }
    }
}
