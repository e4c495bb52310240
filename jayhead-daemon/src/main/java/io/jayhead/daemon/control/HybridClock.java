package io.jayhead.daemon.control;

import java.util.function.LongSupplier;

/**
 * Gives the time in milliseconds since the epoch; it never goes back.
 *
 * <p>It follows the monotonic clock, and jumps ahead when the wall clock has run ahead of it: the monotonic clock of a
 * suspended VM may have stopped, and a freshness limit must count the time of the suspension.
 */
public final class HybridClock {

    /** Smaller differences are adjustments of the wall clock. */
    private static final long JUMP_MS = 250;

    private static final long NANOS_PER_MS = 1_000_000;

    private final LongSupplier wallMs;
    private final LongSupplier monotonicNanos;
    private long baseMs;

    private HybridClock(LongSupplier wallMs, LongSupplier monotonicNanos) {
        this.wallMs = wallMs;
        this.monotonicNanos = monotonicNanos;
        this.baseMs = wallMs.getAsLong() - monotonicNanos.getAsLong() / NANOS_PER_MS;
    }

    /**
     * Returns a clock on the clocks of the system.
     *
     * @return the clock
     */
    public static HybridClock system() {
        return of(System::currentTimeMillis, System::nanoTime);
    }

    /**
     * Returns a clock on two given clocks.
     *
     * @param wallMs gives the wall-clock time in milliseconds
     * @param monotonicNanos gives the monotonic time in nanoseconds
     * @return the clock
     */
    public static HybridClock of(LongSupplier wallMs, LongSupplier monotonicNanos) {
        return new HybridClock(wallMs, monotonicNanos);
    }

    /**
     * Returns the time.
     *
     * @return milliseconds since the epoch
     */
    public synchronized long nowMs() {
        long monotonicMs = baseMs + monotonicNanos.getAsLong() / NANOS_PER_MS;
        long aheadMs = wallMs.getAsLong() - monotonicMs;
        if (aheadMs < JUMP_MS) {
            return monotonicMs;
        }
        baseMs += aheadMs;
        return monotonicMs + aheadMs;
    }
}
