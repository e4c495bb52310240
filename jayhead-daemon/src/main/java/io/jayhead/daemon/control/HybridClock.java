package io.jayhead.daemon.control;

import java.util.function.LongSupplier;

/**
 * Provides the time in milliseconds since the epoch; the time never decreases.
 *
 * <p>The time advances with the monotonic clock, and jumps forward when the wall clock has run ahead by more than an
 * ordinary adjustment. The monotonic clock may stop while a VM is suspended, but the duration of the suspension must
 * count towards the freshness limit.
 */
public final class HybridClock {

    /** A smaller lead of the wall clock is taken for an adjustment of that clock and ignored. */
    private static final long MIN_JUMP_MS = 250;

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
     * Returns a clock that reads the wall clock and the monotonic clock of the system.
     *
     * @return the clock
     */
    public static HybridClock system() {
        return of(System::currentTimeMillis, System::nanoTime);
    }

    /**
     * Returns a clock that reads the given clocks.
     *
     * @param wallMs supplies the wall-clock time in milliseconds since the epoch
     * @param monotonicNanos supplies the monotonic time in nanoseconds, from any origin
     * @return the clock
     */
    public static HybridClock of(LongSupplier wallMs, LongSupplier monotonicNanos) {
        return new HybridClock(wallMs, monotonicNanos);
    }

    /**
     * Returns the current time.
     *
     * @return milliseconds since the epoch, never less than before
     */
    public synchronized long nowMs() {
        long monotonicMs = baseMs + monotonicNanos.getAsLong() / NANOS_PER_MS;
        long aheadMs = wallMs.getAsLong() - monotonicMs;
        if (aheadMs < MIN_JUMP_MS) {
            return monotonicMs;
        }
        baseMs += aheadMs;
        return monotonicMs + aheadMs;
    }
}
