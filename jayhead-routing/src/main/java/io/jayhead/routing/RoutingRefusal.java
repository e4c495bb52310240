package io.jayhead.routing;

import io.jayhead.model.ErrorCode;
import java.util.List;

/**
 * Says why no upstream was chosen; the request has not run.
 *
 * @param code the error for the caller
 * @param candidates the upstreams of the service, each with a note on what keeps it out
 * @param reason the reason, for log lines and operators
 */
public record RoutingRefusal(ErrorCode code, List<Candidate> candidates, String reason) {

    /** Copies the list. */
    public RoutingRefusal {
        candidates = List.copyOf(candidates);
    }
}
