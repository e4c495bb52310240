package io.jayhead.gateway.exchange;

import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.wire.CallerMetadata;
import io.jayhead.model.Either;
import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import java.util.Optional;

/** Decides whether a router accepts a request, and chooses its service. */
final class RequestAdmission {

    private RequestAdmission() {}

    /**
     * Admits or refuses a request.
     *
     * @param metadata the values of its headers
     * @param host the value of its {@code Host} header; empty if missing
     * @param path the target of the request line, that is, its path with any query
     * @param snapshot the current routing snapshot
     * @param drain the state of a planned stop
     * @param answerTimes the recent answer times of the routes
     * @return the admitted request, or the reason for its refusal
     */
    static Either<Refusal, AdmittedRequest> admit(
            CallerMetadata metadata,
            String host,
            String path,
            RoutingSnapshot snapshot,
            DrainState drain,
            AnswerTimes answerTimes) {
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
        boolean needsKey = !route.anonymous() && catalog.keys().areRequired();
        Optional<Organisation> organisation =
                needsKey ? catalog.keys().organisationByKey(metadata.key().orElse(null)) : Optional.empty();
        if (needsKey && organisation.isEmpty()) {
            return Either.left(Refusal.UNKNOWN_KEY);
        }
        if (metadata.requestId().isEmpty() || metadata.malformedSize()) {
            return Either.left(Refusal.MALFORMED);
        }
        String service = route.serviceFor(metadata.requestId().hashCode());
        AdmittedRequest admitted =
                new AdmittedRequest(metadata, route, catalog.service(service), organisation, catalog.ranks());
        if (drain.refuses(admitted.isStreaming(), longestAnswerMs(admitted, answerTimes))) {
            return Either.left(Refusal.STOPPING);
        }
        return Either.right(admitted);
    }

    /** Returns the milliseconds in which a call has a sound answer, if it gets one. */
    private static long longestAnswerMs(AdmittedRequest admitted, AnswerTimes answerTimes) {
        return Math.min(admitted.limitMs(), answerTimes.silenceLimitMs(admitted.route(), 0));
    }
}
