package io.jayhead.gateway.control;

import io.jayhead.admission.quarantine.PromptQuarantine;
import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.registry.UpstreamRegistry;
import io.jayhead.routing.registry.WarmUps;
import io.jayhead.routing.registry.ZoneEvacuations;
import java.util.List;

/**
 * An immutable snapshot of the control state that the traffic thread needs.
 *
 * @param catalog the newest configuration
 * @param registry the upstreams that may be used
 * @param registryKnown whether the registry was read at least once
 * @param routers the routers of the fleet, this one included
 * @param quarantine the parts of prompts that are not sent to upstreams
 * @param evacuations the availability zones whose upstreams get no new requests
 * @param warmUps the upstreams that warm up
 */
public record RoutingSnapshot(
        Catalog catalog,
        UpstreamRegistry registry,
        boolean registryKnown,
        List<RouterAddress> routers,
        PromptQuarantine quarantine,
        ZoneEvacuations evacuations,
        WarmUps warmUps) {

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
                Catalog.empty(),
                UpstreamRegistry.empty(),
                false,
                List.of(),
                PromptQuarantine.empty(),
                ZoneEvacuations.unread(),
                WarmUps.none());
    }

    RoutingSnapshot withCatalog(Catalog newest) {
        return new RoutingSnapshot(newest, registry, registryKnown, routers, quarantine, evacuations, warmUps);
    }

    RoutingSnapshot withRegistry(UpstreamRegistry newest, long nowMs) {
        WarmUps next = registryKnown ? warmUps.changed(registry, newest, nowMs) : warmUps.first(newest, nowMs);
        return new RoutingSnapshot(catalog, newest, true, routers, quarantine, evacuations, next);
    }

    RoutingSnapshot withRouters(List<RouterAddress> newest) {
        return new RoutingSnapshot(catalog, registry, registryKnown, newest, quarantine, evacuations, warmUps);
    }

    RoutingSnapshot withQuarantine(PromptQuarantine newest) {
        return new RoutingSnapshot(catalog, registry, registryKnown, routers, newest, evacuations, warmUps);
    }

    RoutingSnapshot withEvacuations(ZoneEvacuations newest) {
        return new RoutingSnapshot(catalog, registry, registryKnown, routers, quarantine, newest, warmUps);
    }

    /**
     * Tells whether requests can be routed.
     *
     * @return true if the configuration, the registry and the evacuations have been read
     */
    public boolean isComplete() {
        return catalog.hasConfiguration() && registryKnown && evacuations.known();
    }
}
