package io.jayhead.dispatch.forward;

/**
 * Computes how long a caller that was refused during an outage should wait before it retries.
 *
 * <p>The end of an outage is unknown, but the longer it has lasted, the longer it is likely to continue. A caller
 * retries only once, so a retry before the end of the outage uses up its last attempt.
 */
public final class RetryDelay {

    /** The expected remaining duration of an outage as a multiple of its duration so far. */
    private static final double REMAINING_FACTOR = 1.25;
    /** The lower bound of the wait; short interruptions end within this time. */
    private static final long MIN_MS = 400;
    /** The upper bound of the wait, because callers can wait for only a part of their deadline. */
    private static final long MAX_MS = 5_000;

    private RetryDelay() {}

    /**
     * Returns the time to wait before a retry.
     *
     * @param outageMs the duration of the outage so far in milliseconds
     * @return the wait in milliseconds, from 400 to 5000
     */
    public static long forOutageMs(long outageMs) {
        return Math.max(MIN_MS, Math.min(MAX_MS, (long) (outageMs * REMAINING_FACTOR)));
    }
}
