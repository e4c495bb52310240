package io.jayhead.gateway.exchange;

import io.jayhead.gateway.wire.CallerMetadata;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import io.jayhead.routing.catalog.ServiceProfile;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request that has passed admission.
 *
 * @param metadata the values of its headers
 * @param route the route that matches its host and path
 * @param service the service that the route chose for it
 * @param organisation the organisation of the caller; empty if the request needs no key
 */
record AdmittedRequest(
        CallerMetadata metadata, Route route, ServiceProfile service, Optional<Organisation> organisation) {

    private static final int MAX_RANK = 9;
    /** The deadline of requests whose caller sets none. */
    private static final long DEFAULT_DEADLINE_MS = 15_000;

    /** Returns the time from the arrival of the request to the end of its answer, in milliseconds. */
    long limitMs() {
        long deadlineMs = metadata.deadlineMs().orElse(DEFAULT_DEADLINE_MS);
        int timeoutMs = route.timeoutMs();
        return timeoutMs > 0 ? Math.min(deadlineMs, timeoutMs) : deadlineMs;
    }

    boolean isStreaming() {
        return route.kind().isStreaming();
    }

    /**
     * Returns the urgency of the request, from 0, the most urgent, to 9. The priority of the organisation takes
     * precedence over that of the route.
     */
    int rank() {
        int rank = organisation
                .map(Organisation::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
        return Math.max(0, Math.min(MAX_RANK, rank));
    }

    /**
     * Returns the place of the request in the order of its service, from 0 to 99: by {@link #rank()}, then by the
     * priority of the route, since one priority of an organisation covers all its routes.
     */
    int orderRank() {
        int routePriority = Math.max(0, Math.min(MAX_RANK, route.priority()));
        return rank() * (MAX_RANK + 1) + routePriority;
    }

    boolean isGeneration() {
        return metadata.size().isPresent();
    }
}
