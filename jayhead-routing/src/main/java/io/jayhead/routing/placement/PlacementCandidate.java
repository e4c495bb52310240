package io.jayhead.routing.placement;

import io.jayhead.routing.registry.Upstream;

/**
 * Describes an upstream and its load as known to this router.
 *
 * @param upstream the upstream
 * @param inFlight the number of in-flight requests of this router at the upstream
 * @param reportedOtherRequests the number of requests at the upstream beyond those of this router, according to its
 *     last report
 * @param pendingTokensToRead the prompt tokens that the upstream must still read for requests of this router whose
 *     first event has not arrived
 * @param suspect whether recent requests to the upstream failed
 * @param sameZone whether the upstream is in the availability zone of this router
 * @param averageAnswerMs the average time in milliseconds from sending a plain call to the end of its answer; 0 without
 *     answers
 * @param slowness the measured time to the first event of recent generations, divided by the expected time; 1 without
 *     generations
 */
public record PlacementCandidate(
        Upstream upstream,
        int inFlight,
        int reportedOtherRequests,
        long pendingTokensToRead,
        boolean suspect,
        boolean sameZone,
        double averageAnswerMs,
        double slowness) {}
