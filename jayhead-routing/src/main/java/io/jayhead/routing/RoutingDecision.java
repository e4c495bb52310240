package io.jayhead.routing;

import io.jayhead.model.UpstreamName;
import java.util.List;

/**
 * Names the upstream chosen and why.
 *
 * @param upstream the upstream
 * @param candidates all upstreams of the service, including those that could not be chosen
 * @param reason the reason, for log lines and operators
 */
public record RoutingDecision(UpstreamName upstream, List<Candidate> candidates, String reason) {

    /** Copies the list. */
    public RoutingDecision {
        candidates = List.copyOf(candidates);
    }
}
