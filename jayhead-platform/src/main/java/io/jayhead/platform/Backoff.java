package io.jayhead.platform;

/**
 * Computes exponential delays with full jitter, so that many routers do not call a recovered platform at the same time.
 *
 * @param initialMs the upper bound of the first delay
 * @param capMs the upper bound of every delay
 */
public record Backoff(long initialMs, long capMs) {

    /** Upper bound of the first delay after the platform fails. */
    public static final long RECONNECT_INITIAL_MS = 200;

    /** Upper bound of all delays; it limits how long a router waits after an outage has ended. */
    public static final long RECONNECT_CAP_MS = 10_000;

    private static final int MAX_DOUBLINGS = 30;

    /** Checks the bounds. */
    public Backoff {
        if (initialMs < 1 || capMs < initialMs) {
            throw new IllegalArgumentException("backoff needs 1 <= initialMs <= capMs: " + initialMs + ", " + capMs);
        }
    }

    /**
     * Returns the backoff for reconnection to the platform.
     *
     * @return a backoff from 200 ms up to 10 s
     */
    public static Backoff reconnect() {
        return new Backoff(RECONNECT_INITIAL_MS, RECONNECT_CAP_MS);
    }

    /**
     * Returns the delay before an attempt.
     *
     * @param failures the number of failures so far, at least 1
     * @param random a random number from 0 (inclusive) to 1 (exclusive)
     * @return the delay in ms: the random share of a bound that doubles with each failure up to the cap
     */
    public long delayMs(int failures, double random) {
        int doublings = Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS);
        long boundMs = Math.min(capMs, initialMs << doublings);
        return (long) (random * boundMs);
    }
}
