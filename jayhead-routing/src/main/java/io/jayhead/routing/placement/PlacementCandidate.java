package io.jayhead.routing.placement;

import io.jayhead.routing.registry.Upstream;

/**
 * Describes an upstream and its load as known to this router.
 *
 * @param upstream the upstream
 * @param slots the number of requests that the upstream runs at the same time
 * @param inFlight the number of in-flight requests of this router at the upstream
 * @param otherRequests the estimated number of requests at the upstream beyond those of this router
 * @param pendingTokensToRead the prompt tokens that the upstream must still read for requests of this router whose
 *     first event has not arrived
 * @param ownTokens the tokens that the requests of this router take at most in the memory of the upstream
 * @param otherTokens the estimated tokens of the requests of other routers in the memory of the upstream
 * @param suspect whether recent requests to the upstream failed
 * @param sameZone whether the upstream is in the availability zone of this router
 * @param averageAnswerMs the average time in milliseconds from sending a plain call to the end of its answer; 0 without
 *     answers
 * @param slowness the measured time to the first event of recent generations, divided by the expected time; 1 without
 *     generations
 * @param slowdown the expected time of work that starts now on the machine of the upstream, divided by the usual time;
 *     1 without reports
 */
public record PlacementCandidate(
        Upstream upstream,
        int slots,
        int inFlight,
        double otherRequests,
        long pendingTokensToRead,
        long ownTokens,
        double otherTokens,
        boolean suspect,
        boolean sameZone,
        double averageAnswerMs,
        double slowness,
        double slowdown) {}
