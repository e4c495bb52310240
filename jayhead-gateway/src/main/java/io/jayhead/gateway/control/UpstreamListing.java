package io.jayhead.gateway.control;

import io.jayhead.routing.registry.Upstream;
import java.util.Map;

/**
 * All usable entries of the registry.
 *
 * @param byId the upstreams by identity
 */
public record UpstreamListing(Map<String, Upstream> byId) {

    /** Makes an immutable copy of the map. */
    public UpstreamListing {
        byId = Map.copyOf(byId);
    }
}
