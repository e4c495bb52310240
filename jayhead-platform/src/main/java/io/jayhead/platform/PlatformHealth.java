package io.jayhead.platform;

/**
 * Tells whether the platform counts as down and when it may be tried again; immutable.
 *
 * @param consecutiveFailures the number of calls without a usable answer since the last success
 * @param nextAttemptMs the earliest time of the next call while the platform is down
 * @param backoff the backoff between attempts
 */
public record PlatformHealth(int consecutiveFailures, long nextAttemptMs, Backoff backoff) {

    /**
     * Number of failures in a row after which the platform counts as down.
     *
     * <p>A single lost reply happens in normal operation and must not switch the router to outage mode.
     */
    public static final int FAILURES_UNTIL_DOWN = 3;

    /**
     * Returns the health of a platform that has not failed yet.
     *
     * @return the initial health with the backoff for reconnection
     */
    public static PlatformHealth initial() {
        return new PlatformHealth(0, 0, Backoff.reconnect());
    }

    /**
     * Tells whether the platform counts as down.
     *
     * @return true after three failures in a row
     */
    public boolean isDown() {
        return consecutiveFailures >= FAILURES_UNTIL_DOWN;
    }

    /**
     * Tells whether a call may be made now.
     *
     * @param nowMs the current time
     * @return true if the platform is up or the backoff has passed
     */
    public boolean mayTry(long nowMs) {
        return !isDown() || nowMs >= nextAttemptMs;
    }

    /**
     * Returns the health after an answer of the platform.
     *
     * @return a health without failures
     */
    public PlatformHealth afterSuccess() {
        return new PlatformHealth(0, 0, backoff);
    }

    /**
     * Returns the health after a call without a usable answer.
     *
     * @param nowMs the current time
     * @param random a random number from 0 (inclusive) to 1 (exclusive)
     * @return the health with one failure more and a new time for the next attempt
     */
    public PlatformHealth afterFailure(long nowMs, double random) {
        int failures = consecutiveFailures == Integer.MAX_VALUE ? consecutiveFailures : consecutiveFailures + 1;
        return new PlatformHealth(failures, nowMs + backoff.delayMs(failures, random), backoff);
    }
}
