package io.jayhead.admission.room;

/**
 * Spreads the callers that are told to return over the time in which room becomes free, so that they do not return
 * all at once; immutable.
 *
 * @param bookedUntilMs the time in milliseconds at which the last caller is expected to return
 */
record ReturnSchedule(double bookedUntilMs) {

    static final ReturnSchedule EMPTY = new ReturnSchedule(0);

    /** Returns after this time are not planned, since the load is likely to have changed by then. */
    private static final long HORIZON_MS = 5_000;

    /**
     * Books the next return.
     *
     * @param nowMs the time in milliseconds
     * @param earliestMs the milliseconds until a place may be free
     * @param spacingMs the mean milliseconds between two places that become free
     * @return the schedule with the new return as its last
     */
    ReturnSchedule book(long nowMs, double earliestMs, double spacingMs) {
        double earliestAtMs = nowMs + Math.min(earliestMs, HORIZON_MS);
        double nextAtMs = Math.max(earliestAtMs, bookedUntilMs + spacingMs);
        return new ReturnSchedule(nextAtMs > nowMs + HORIZON_MS ? earliestAtMs : nextAtMs);
    }
}
