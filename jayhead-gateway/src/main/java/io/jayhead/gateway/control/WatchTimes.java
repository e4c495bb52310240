package io.jayhead.gateway.control;

/**
 * Derives for how long watches wait from the time within which lost connections must be replaced.
 *
 * <p>A connection may fall silent without being closed, while the platform answers on all others. Nothing but the
 * missing end of its watch shows that, so the wait of a watch bounds for how long changes can go unnoticed.
 *
 * @param reconnectMs the time in milliseconds within which changes must be noticed again after connections were lost
 */
record WatchTimes(long reconnectMs) {

    /** The time until a reading on a new connection has ended once a watch has failed. */
    private static final int READ_MS = 400;
    /** Shorter waits would cost a call for hardly any time without a watch. */
    private static final int MIN_WAIT_MS = 500;
    /** The longest wait that the platform grants, less a margin. */
    private static final int MAX_WAIT_MS = 29_000;
    /** How much longer the loss of a connection may go unnoticed where changes need not be in force at a fixed time. */
    private static final int RELAXED_FACTOR = 3;

    /**
     * Returns the wait of watches whose changes must be in force within a fixed time.
     *
     * @param pauseMs the time in milliseconds between the end of a watch and the next one
     * @return the wait in milliseconds
     */
    int waitMs(int pauseMs) {
        return waitMs(reconnectMs, pauseMs);
    }

    /**
     * Returns the wait of watches whose changes may be noticed later.
     *
     * @param pauseMs the time in milliseconds between the end of a watch and the next one
     * @return the wait in milliseconds
     */
    int relaxedWaitMs(int pauseMs) {
        return waitMs(RELAXED_FACTOR * reconnectMs, pauseMs);
    }

    private static int waitMs(long limitMs, int pauseMs) {
        long waitMs = limitMs - pauseMs - PlatformClient.WATCH_MARGIN_MS - READ_MS;
        return (int) Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, waitMs));
    }
}
