package io.jayhead.gateway.exchange;

import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.wire.CallerFacts;
import io.jayhead.model.Either;
import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import java.util.Optional;

/** Decides whether a router takes a request, and to which service it goes. */
final class RequestAdmission {

    private RequestAdmission() {}

    /**
     * Decides on a request.
     *
     * @param facts what its headers say
     * @param host its host
     * @param path its path
     * @param snapshot the routing snapshot in force
     * @param drain the state of a planned stop
     * @return the admitted request, or why it is refused
     */
    static Either<Refusal, AdmittedRequest> admit(
            CallerFacts facts, String host, String path, RoutingSnapshot snapshot, DrainState drain) {
        if (drain.isRefusing()) {
            return Either.left(Refusal.STOPPING);
        }
        if (!snapshot.isComplete()) {
            return Either.left(Refusal.NOT_CONFIGURED);
        }
        Catalog catalog = snapshot.catalog();
        Optional<Route> found = catalog.route(host, path);
        if (found.isEmpty()) {
            return Either.left(Refusal.NO_ROUTE);
        }
        Route route = found.get();
        if (route.kind().isStreaming() && drain.isRefusingStreams()) {
            return Either.left(Refusal.STOPPING);
        }
        boolean needsKey = !route.open() && catalog.hasOrganisations();
        Optional<Organisation> organisation =
                needsKey ? catalog.organisationOf(facts.key().orElse(null)) : Optional.empty();
        if (needsKey && organisation.isEmpty()) {
            return Either.left(Refusal.UNKNOWN_KEY);
        }
        if (facts.requestId().isEmpty()) {
            return Either.left(Refusal.MALFORMED);
        }
        String service = route.serviceFor(facts.requestId().hashCode());
        return Either.right(new AdmittedRequest(facts, route, catalog.service(service), organisation));
    }
}
