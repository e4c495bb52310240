package io.jayhead.routing.placement;

import io.jayhead.routing.registry.Upstream;

/**
 * Describes an upstream with its work and health as known to this router.
 *
 * @param upstream the upstream
 * @param work the work at the upstream
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
        UpstreamWork work,
        boolean suspect,
        boolean sameZone,
        double averageAnswerMs,
        double slowness,
        double slowdown) {}
