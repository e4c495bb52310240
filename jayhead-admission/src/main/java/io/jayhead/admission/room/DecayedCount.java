package io.jayhead.admission.room;

/**
 * Counts events; the weight of each event halves with every half-life. Times are in milliseconds.
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

    /** Returns the recent rate in events per millisecond: a constant rate gives a count of rate * half-life / ln 2. */
    double ratePerMs(long nowMs, long halfLifeMs) {
        return at(nowMs, halfLifeMs) * Math.log(2) / halfLifeMs;
    }
}
