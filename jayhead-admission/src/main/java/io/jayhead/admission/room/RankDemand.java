package io.jayhead.admission.room;

/**
 * The demand of the requests of one rank.
 *
 * @param arrivals the recent arrivals, refused ones included
 * @param holdMs the mean time in milliseconds for which recent requests were in flight; 0 before the first has ended
 * @param inFlight the requests in flight
 */
record RankDemand(DecayedCount arrivals, double holdMs, int inFlight) {

    static final RankDemand NONE = new RankDemand(DecayedCount.ZERO, 0, 0);

    /** Follows bursts of a few seconds. */
    private static final long ARRIVALS_HALF_LIFE_MS = 2_000;

    private static final double NEWEST_HOLD_WEIGHT = 0.1;

    RankDemand arrived(long nowMs) {
        return new RankDemand(arrivals.plusOne(nowMs, ARRIVALS_HALF_LIFE_MS), holdMs, inFlight);
    }

    RankDemand admitted() {
        return new RankDemand(arrivals, holdMs, inFlight + 1);
    }

    RankDemand left(double heldMs) {
        double nextHoldMs = holdMs == 0 ? heldMs : holdMs + NEWEST_HOLD_WEIGHT * (heldMs - holdMs);
        return new RankDemand(arrivals, nextHoldMs, inFlight - 1);
    }

    double recentArrivals(long nowMs) {
        return arrivals.at(nowMs, ARRIVALS_HALF_LIFE_MS);
    }

    /** Returns the requests that would be in flight if all were admitted (Little's law). */
    double expectedInFlight(long nowMs) {
        return arrivals.ratePerMs(nowMs, ARRIVALS_HALF_LIFE_MS) * holdMs;
    }
}
