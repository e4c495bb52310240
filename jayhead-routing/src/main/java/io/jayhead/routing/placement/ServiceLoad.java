package io.jayhead.routing.placement;

import io.jayhead.routing.DecayedMean;

/**
 * Holds the mean load that the upstreams of one service report; immutable.
 *
 * @param reportsSlowdown whether an upstream has reported its slots and the slowdown of its machine
 * @param othersPerSlot the requests of other routers at an upstream, divided by its slots
 */
public record ServiceLoad(boolean reportsSlowdown, DecayedMean othersPerSlot) {

    private static final long HALF_LIFE_MS = 1_000;

    /**
     * Returns the load of a service without reports.
     *
     * @return the empty load
     */
    public static ServiceLoad unknown() {
        return new ServiceLoad(false, DecayedMean.empty());
    }

    /**
     * Adds the report of an upstream.
     *
     * @param report the report
     * @param otherRequests the requests of other routers at the upstream
     * @param nowMs the current time
     * @return the new load
     */
    public ServiceLoad with(ReportedLoad report, int otherRequests, long nowMs) {
        if (report.slots().isEmpty()) {
            return this;
        }
        double share = (double) otherRequests / report.slots().getAsInt();
        return new ServiceLoad(
                reportsSlowdown || report.slowdown().isPresent(), othersPerSlot.with(share, nowMs, HALF_LIFE_MS));
    }

    /**
     * Returns the expected requests of other routers at an upstream of which nothing else is known.
     *
     * @param slots the slots of the upstream
     * @param nowMs the current time
     * @return the number of requests
     */
    double expectedOthers(int slots, long nowMs) {
        return slots * othersPerSlot.blend(0, 1, nowMs, HALF_LIFE_MS);
    }
}
