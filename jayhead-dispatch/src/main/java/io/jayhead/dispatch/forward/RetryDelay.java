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

    /**
     * The longest mean delay, as a share of the time that the caller has left. Callers accept delays of up to a third
     * of that time, which the spread around the mean must not exceed.
     */
    private static final double MAX_SHARE_OF_LEFT = 0.26;

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

    /**
     * Returns the time to wait before a retry at an overloaded service: until room is expected, but within the time
     * that the caller has.
     *
     * @param overloadMs the duration of the overload so far in milliseconds
     * @param roomInMs the time until a place is expected to be free for the caller in milliseconds
     * @param leftMs the time until the caller gives up in milliseconds
     * @param answerMs the time that an answer takes in milliseconds
     * @return the wait in milliseconds; 0 if no answer is possible after it, so that the caller should not return
     */
    public static long forRoomMs(long overloadMs, long roomInMs, long leftMs, long answerMs) {
        long expectedMs = Math.max(forOutageMs(overloadMs), roomInMs);
        long delayMs = Math.min(expectedMs, (long) (MAX_SHARE_OF_LEFT * leftMs));
        return leftMs - delayMs > answerMs ? Math.max(1, delayMs) : 0;
    }
}
