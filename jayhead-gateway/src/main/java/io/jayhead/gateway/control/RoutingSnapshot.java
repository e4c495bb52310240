package io.jayhead.gateway.control;

import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.registry.UpstreamRegistry;
import java.util.List;

/**
 * An immutable snapshot of the control state that the traffic thread needs.
 *
 * @param catalog the newest configuration
 * @param registry the upstreams that may be used
 * @param registryKnown whether the registry was read at least once
 * @param routers the routers of the fleet, this one included
 */
public record RoutingSnapshot(
        Catalog catalog, UpstreamRegistry registry, boolean registryKnown, List<RouterAddress> routers) {

    /** Makes an immutable copy of the list. */
    public RoutingSnapshot {
        routers = List.copyOf(routers);
    }

    /**
     * Returns the snapshot of a router that has just started.
     *
     * @return a snapshot without configuration, upstreams and routers
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
     * @return true if the configuration and the registry have been read
     */
    public boolean isComplete() {
        return catalog.hasConfiguration() && registryKnown;
    }
}
