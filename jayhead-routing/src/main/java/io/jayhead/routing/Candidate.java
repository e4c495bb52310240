package io.jayhead.routing;

import io.jayhead.model.UpstreamName;

/**
 * Describes one upstream as seen by one routing decision.
 *
 * @param upstream the upstream
 * @param estimatedFirstTokenMs the estimated time to the first token; infinite if the upstream cannot be chosen
 * @param cacheLikelihood the likelihood that it holds the prompt's prefix
 * @param sameZone whether it is in the availability zone of this router
 * @param note what keeps the upstream out or slows it down; blank if nothing
 */
public record Candidate(
        UpstreamName upstream, double estimatedFirstTokenMs, double cacheLikelihood, boolean sameZone, String note) {

    /**
     * Tells whether the upstream can be chosen.
     *
     * @return true if there is an estimate
     */
    public boolean isEligible() {
        return Double.isFinite(estimatedFirstTokenMs);
    }

    static Candidate ineligible(UpstreamName upstream, boolean sameZone, String note) {
        return new Candidate(upstream, Double.POSITIVE_INFINITY, 0, sameZone, note);
    }
}
