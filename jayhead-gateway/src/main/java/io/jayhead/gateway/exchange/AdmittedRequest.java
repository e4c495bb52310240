package io.jayhead.gateway.exchange;

import io.jayhead.gateway.wire.CallerMetadata;
import io.jayhead.routing.catalog.AllowedRegions;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import io.jayhead.routing.catalog.ServiceProfile;
import io.jayhead.routing.catalog.UpstreamRanks;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request that has passed admission.
 *
 * @param metadata the values of its headers
 * @param route the route that matches its host and path
 * @param service the service that the route chose for it
 * @param organisation the organisation of the caller; empty if the request needs no key
 * @param ranks the ranks of requests at upstreams
 */
record AdmittedRequest(
        CallerMetadata metadata,
        Route route,
        ServiceProfile service,
        Optional<Organisation> organisation,
        UpstreamRanks ranks) {

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
     * Returns the urgency of the request among those of its budget, from 0, the most urgent, to 9. It is the priority
     * of its route, since all requests of a budget have the same organisation.
     */
    int budgetRank() {
        return Math.max(0, Math.min(MAX_RANK, route.priority()));
    }

    /** Returns the regions in which both its route and its organisation allow it to be processed. */
    AllowedRegions regions() {
        return organisation
                .map(Organisation::regions)
                .orElse(AllowedRegions.all())
                .and(route.regions());
    }

    /** Returns the place of the request in the order of its service, from 0, the most urgent, to 99. */
    int orderRank() {
        return UpstreamRanks.place(
                organisation.map(Organisation::priority).orElse(OptionalInt.empty()), route.priority());
    }

    /** Returns the rank of the request at its upstream, from 0, the most urgent, to 9. */
    int upstreamRank() {
        return ranks.rankOf(orderRank());
    }

    boolean isGeneration() {
        return metadata.size().isPresent();
    }
}
