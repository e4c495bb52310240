package io.jayhead.gateway.control;

import io.jayhead.admission.quarantine.PromptQuarantine;
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
 * @param quarantine the parts of prompts that are not sent to upstreams
 */
public record RoutingSnapshot(
        Catalog catalog,
        UpstreamRegistry registry,
        boolean registryKnown,
        List<RouterAddress> routers,
        PromptQuarantine quarantine) {

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
        return new RoutingSnapshot(
                Catalog.empty(), UpstreamRegistry.empty(), false, List.of(), PromptQuarantine.empty());
    }

    RoutingSnapshot withCatalog(Catalog newest) {
        return new RoutingSnapshot(newest, registry, registryKnown, routers, quarantine);
    }

    RoutingSnapshot withRegistry(UpstreamRegistry newest) {
        return new RoutingSnapshot(catalog, newest, true, routers, quarantine);
    }

    RoutingSnapshot withRouters(List<RouterAddress> newest) {
        return new RoutingSnapshot(catalog, registry, registryKnown, newest, quarantine);
    }

    RoutingSnapshot withQuarantine(PromptQuarantine newest) {
        return new RoutingSnapshot(catalog, registry, registryKnown, routers, newest);
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
