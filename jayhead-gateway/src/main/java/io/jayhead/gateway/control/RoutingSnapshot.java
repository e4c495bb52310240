package io.jayhead.gateway.control;

import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.registry.UpstreamRegistry;

/**
 * What the traffic thread needs of the control state; immutable.
 *
 * @param catalog the newest configuration
 * @param registry the upstreams that may be used
 * @param registryKnown whether the registry was read at least once
 */
public record RoutingSnapshot(Catalog catalog, UpstreamRegistry registry, boolean registryKnown) {

    /**
     * Returns the snapshot of a router that has just started.
     *
     * @return the snapshot
     */
    public static RoutingSnapshot empty() {
        return new RoutingSnapshot(Catalog.empty(), UpstreamRegistry.empty(), false);
    }

    /**
     * Tells whether requests can be routed.
     *
     * @return true if the configuration and the registry are known
     */
    public boolean isComplete() {
        return catalog.isKnown() && registryKnown;
    }
}
