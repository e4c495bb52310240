package io.jayhead.routing;

import io.jayhead.model.ErrorCode;
import java.util.List;

/**
 * Explains why no upstream was chosen; the request has not run.
 *
 * @param code the error code for the caller
 * @param candidates the upstreams of the service, each with a note that says why it is not eligible
 * @param reason the reason, for log lines and operators
 */
public record RoutingRefusal(ErrorCode code, List<Candidate> candidates, String reason) {

    /** Makes a defensive copy of the list. */
    public RoutingRefusal {
        candidates = List.copyOf(candidates);
    }
}
