package io.jayhead.routing.placement;

/**
 * Holds the last load report of an upstream and estimates from it the requests of other routers there; immutable.
 *
 * <p>The load pattern: in a large fleet each router gets an answer from an upstream only now and then, so its last
 * report is old. An aged report counts less than the mean of the service, so that an upstream that was idle a while ago
 * does not attract the requests of all routers that remember it.
 *
 * @param load the reported load
 * @param ownRequests the requests of this router at the upstream when the report arrived
 * @param reportedMs the time in milliseconds at which the report arrived
 */
public record UpstreamReport(ReportedLoad load, int ownRequests, long reportedMs) {

    /** For a service that does not report slowdowns, a report counts in full for this time and then no more. */
    private static final long MAX_AGE_MS = 1_000;
    /** The time after which the difference of a report from the mean of the service counts half. */
    private static final double HALF_LIFE_MS = 500;

    /**
     * Returns the report of an upstream that has sent none.
     *
     * @return the report without figures
     */
    public static UpstreamReport none() {
        return new UpstreamReport(ReportedLoad.empty(), 0, 0);
    }

    /**
     * Returns the requests of other routers at the time of the report.
     *
     * @return the number of requests; 0 if not reported
     */
    public int otherRequests() {
        return Math.max(0, load.requests().orElse(0) - ownRequests);
    }

    /**
     * Estimates the requests of other routers at the upstream.
     *
     * @param service the mean load of the service
     * @param slots the slots of the upstream
     * @param nowMs the current time
     * @return the number of requests, running or waiting
     */
    public double otherRequests(ServiceLoad service, int slots, long nowMs) {
        if (!service.reportsSlowdown()) {
            return nowMs - reportedMs < MAX_AGE_MS ? otherRequests() : 0;
        }
        double expected = service.expectedOthers(slots, nowMs);
        return expected + (otherRequests() - expected) * weight(nowMs);
    }

    /**
     * Returns how much the report still tells of the load of the upstream.
     *
     * @param nowMs the current time
     * @return a number from 0 to 1
     */
    public double weight(long nowMs) {
        if (load.requests().isEmpty()) {
            return 0;
        }
        return Math.pow(0.5, Math.max(0, nowMs - reportedMs) / HALF_LIFE_MS);
    }
}
