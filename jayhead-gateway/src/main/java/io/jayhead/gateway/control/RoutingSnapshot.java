package io.jayhead.gateway.control;

import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.registry.UpstreamRegistry;
import java.util.List;

/**
 * What the traffic thread needs of the control state; immutable.
 *
 * @param catalog the newest configuration
 * @param registry the upstreams that may be used
 * @param registryKnown whether the registry was read at least once
 * @param routers the routers of the fleet, this one included
 */
public record RoutingSnapshot(
        Catalog catalog, UpstreamRegistry registry, boolean registryKnown, List<RouterAddress> routers) {

    /** Copies the list. */
    public RoutingSnapshot {
        routers = List.copyOf(routers);
    }

    /**
     * Returns the snapshot of a router that has just started.
     *
     * @return the snapshot
     */
    public static RoutingSnapshot empty() {
        return new RoutingSnapshot(Catalog.empty(), UpstreamRegistry.empty(), false, List.of());
    }

    RoutingSnapshot withCatalog(Catalog newest) {
        return new RoutingSnapshot(newest, registry, registryKnown, routers);
    }

    RoutingSnapshot withRegistry(UpstreamRegistry newest) {
        return new RoutingSnapshot(catalog, newest, true, routers);
    }

    RoutingSnapshot withRouters(List<RouterAddress> newest) {
        return new RoutingSnapshot(catalog, registry, registryKnown, newest);
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
