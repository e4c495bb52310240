package io.jayhead.admission.room;

/**
 * Counts events, of which older ones weigh less.
 *
 * @param events the weighted number at the time of the last event
 * @param atMs the time of the last event
 */
record DecayedCount(double events, long atMs) {

    static final DecayedCount ZERO = new DecayedCount(0, 0);

    DecayedCount plusOne(long nowMs, long halfLifeMs) {
        return new DecayedCount(at(nowMs, halfLifeMs) + 1, nowMs);
    }

    double at(long nowMs, long halfLifeMs) {
        return events * Math.pow(0.5, Math.max(0, nowMs - atMs) / (double) halfLifeMs);
    }

    /** Returns the events for each millisecond. */
    double ratePerMs(long nowMs, long halfLifeMs) {
        return at(nowMs, halfLifeMs) * Math.log(2) / halfLifeMs;
    }
}
