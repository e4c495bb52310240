package io.jayhead.routing;

import io.jayhead.model.UpstreamName;
import java.util.List;

/**
 * Holds the upstream chosen for a request and the reason.
 *
 * @param upstream the chosen upstream
 * @param candidates all upstreams of the service, including those that are not eligible
 * @param reason the reason, for log lines and operators
 */
public record RoutingDecision(UpstreamName upstream, List<Candidate> candidates, String reason) {

    /** Makes a defensive copy of the list. */
    public RoutingDecision {
        candidates = List.copyOf(candidates);
    }
}
