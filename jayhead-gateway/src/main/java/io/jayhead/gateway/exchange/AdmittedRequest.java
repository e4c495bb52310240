package io.jayhead.gateway.exchange;

import io.jayhead.gateway.wire.CallerFacts;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import io.jayhead.routing.catalog.ServiceProfile;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request that the configuration allows.
 *
 * @param facts what its headers say
 * @param route the route that it takes
 * @param service the service that the route leads it to
 * @param organisation the organisation of the caller; empty on open routes
 */
record AdmittedRequest(CallerFacts facts, Route route, ServiceProfile service, Optional<Organisation> organisation) {

    private static final int MAX_RANK = 9;

    boolean isStreaming() {
        return route.kind().isStreaming();
    }

    /** Returns how urgent the request is, from 0, the most urgent; that of the organisation goes before the route's. */
    int rank() {
        int rank = organisation
                .map(Organisation::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
        return Math.max(0, Math.min(MAX_RANK, rank));
    }

    boolean isGeneration() {
        return facts.size().isPresent();
    }
}
