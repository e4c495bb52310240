package io.jayhead.dispatch.forward;

/**
 * Chooses when a caller that was refused in an outage should come back.
 *
 * <p>Answers outages whose end nobody knows: the longer one has lasted, the longer it is likely to last. A caller comes
 * back once, so a return that is too early costs it its last try.
 */
public final class ReturnTime {

    /** What an outage of some age still lasts, as a part of its age. */
    private static final double REMAINING_SHARE = 1.25;
    /** Short interruptions end within this time. */
    private static final long MIN_MS = 400;
    /** Callers wait for no more than a part of their deadline. */
    private static final long MAX_MS = 5_000;

    private ReturnTime() {}

    /**
     * Returns the time to wait.
     *
     * @param outageMs how long the outage has lasted, in milliseconds
     * @return the time in milliseconds
     */
    public static long afterOutageMs(long outageMs) {
        return Math.max(MIN_MS, Math.min(MAX_MS, (long) (outageMs * REMAINING_SHARE)));
    }
}
