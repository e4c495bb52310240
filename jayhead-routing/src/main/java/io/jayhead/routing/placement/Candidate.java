package io.jayhead.routing.placement;

import io.jayhead.routing.registry.Upstream;

/**
 * An upstream with what is known of its load.
 *
 * @param upstream the upstream
 * @param inFlight the requests that this router has open there
 * @param reportedOthers the requests that the upstream last reported beyond those of this router
 * @param pendingTokensToRead the prompt tokens that the upstream must read for requests of this router whose first
 *     event has not arrived
 * @param suspect whether it recently failed to answer
 * @param sameZone whether it stands in the router's availability zone
 * @param averageAnswerMs the mean time to the first byte of its recent answers to plain calls; 0 if not known
 * @param slowness the time to the first event of recent generations relative to the expected one; 1 if not known
 */
public record Candidate(
        Upstream upstream,
        int inFlight,
        int reportedOthers,
        long pendingTokensToRead,
        boolean suspect,
        boolean sameZone,
        double averageAnswerMs,
        double slowness) {}
