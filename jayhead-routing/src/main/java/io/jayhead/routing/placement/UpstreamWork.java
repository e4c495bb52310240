package io.jayhead.routing.placement;

/**
 * Describes the work at an upstream as known to one router.
 *
 * @param slots the number of requests that the upstream runs at the same time
 * @param inFlight the number of in-flight requests of this router at the upstream
 * @param otherRequests the estimated number of requests at the upstream beyond those of this router
 * @param pendingTokensToRead the prompt tokens that the upstream must still read for requests of this router whose
 *     first event has not arrived
 * @param ownTokens the tokens that the requests of this router take at most in the memory of the upstream
 * @param otherTokens the estimated tokens of the requests of other routers in the memory of the upstream
 */
public record UpstreamWork(
        int slots, int inFlight, double otherRequests, long pendingTokensToRead, long ownTokens, double otherTokens) {

    /** Takes an upstream without slots for one with a single slot. */
    public UpstreamWork {
        slots = Math.max(1, slots);
    }

    /**
     * Returns the work of an upstream that has none.
     *
     * @param slots its slots
     * @return the empty work
     */
    public static UpstreamWork none(int slots) {
        return new UpstreamWork(slots, 0, 0, 0, 0, 0);
    }

    /**
     * Returns the requests of all routers at the upstream.
     *
     * @return the estimated number of requests
     */
    public double requests() {
        return inFlight + otherRequests;
    }
}
