package io.jayhead.routing;

import io.jayhead.model.UpstreamName;

/**
 * Describes an upstream as evaluated for one routing decision.
 *
 * @param upstream the name of the upstream
 * @param estimatedFirstTokenMs the estimated time to the first token; infinite if the upstream is not eligible
 * @param cacheLikelihood the likelihood from 0 to 1 that the upstream has cached the prompt's prefix
 * @param sameZone whether the upstream is in the availability zone of this router
 * @param note why the upstream is not eligible or less suitable; blank if there is no reason
 */
public record Candidate(
        UpstreamName upstream, double estimatedFirstTokenMs, double cacheLikelihood, boolean sameZone, String note) {

    /**
     * Tells whether the upstream can be chosen.
     *
     * @return true if the estimate is finite
     */
    public boolean isEligible() {
        return Double.isFinite(estimatedFirstTokenMs);
    }

    static Candidate ineligible(UpstreamName upstream, boolean sameZone, String note) {
        return new Candidate(upstream, Double.POSITIVE_INFINITY, 0, sameZone, note);
    }
}
