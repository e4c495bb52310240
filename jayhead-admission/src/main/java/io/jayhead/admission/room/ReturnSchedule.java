package io.jayhead.admission.room;

/**
 * Spreads the callers that are told to return over the time in which room becomes free, so that they do not return as
 * one wave; immutable.
 *
 * @param bookedUntilMs when the last caller is expected to return
 */
record ReturnSchedule(double bookedUntilMs) {

    static final ReturnSchedule EMPTY = new ReturnSchedule(0);

    /** Returns after this time are not planned, since the load is likely to be another one by then. */
    private static final long HORIZON_MS = 5_000;

    /**
     * Books the next return.
     *
     * @param nowMs the time
     * @param earliestMs the time until a place may be free
     * @param spacingMs the time in which one place becomes free
     */
    ReturnSchedule book(long nowMs, double earliestMs, double spacingMs) {
        double earliestAtMs = nowMs + Math.min(earliestMs, HORIZON_MS);
        double nextAtMs = Math.max(earliestAtMs, bookedUntilMs + spacingMs);
        return new ReturnSchedule(nextAtMs > nowMs + HORIZON_MS ? earliestAtMs : nextAtMs);
    }
}
