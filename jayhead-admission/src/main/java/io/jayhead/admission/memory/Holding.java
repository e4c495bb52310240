package io.jayhead.admission.memory;

/**
 * Describes the memory that one connection makes the process hold.
 *
 * @param phase what the memory waits for
 * @param bytes the held bytes
 * @param sinceMs the time at which the phase began, of a monotonic clock in milliseconds
 */
public record Holding(HoldingPhase phase, long bytes, long sinceMs) {

    /** Keeps a holding that has just begun from weighing nothing. */
    private static final long MIN_AGE_MS = 100;

    /** Returns the product of the held bytes and the time for which they have been held. */
    double byteMs(long nowMs) {
        return (double) bytes * Math.max(MIN_AGE_MS, nowMs - sinceMs);
    }
}
