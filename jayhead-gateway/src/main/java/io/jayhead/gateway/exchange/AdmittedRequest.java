package io.jayhead.gateway.exchange;

import io.jayhead.gateway.wire.CallerFacts;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import io.jayhead.routing.catalog.ServiceProfile;
import java.util.Optional;

/**
 * A request that the configuration allows.
 *
 * @param facts what its headers say
 * @param route the route that it takes
 * @param service the service that the route leads it to
 * @param organisation the organisation of the caller; empty on open routes
 */
record AdmittedRequest(CallerFacts facts, Route route, ServiceProfile service, Optional<Organisation> organisation) {

    boolean isStreaming() {
        return route.kind().isStreaming();
    }

    boolean isGeneration() {
        return facts.size().isPresent();
    }
}
