package io.jayhead.routing.review;

import io.jayhead.routing.catalog.CallerLimits;
import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import io.jayhead.routing.catalog.WeightedService;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Finds entries of a configuration that can never take effect and limits that contradict each other. It asks the
 * catalog that routers use, so that it finds what they do.
 */
public final class CatalogReview {

    private final Catalog catalog;
    private final List<Finding> findings = new ArrayList<>();

    private CatalogReview(Catalog catalog) {
        this.catalog = catalog;
    }

    /**
     * Reviews a configuration.
     *
     * @param catalog the configuration as routers read it
     * @return the findings by entry; empty if there are none
     */
    public static List<Finding> of(Catalog catalog) {
        CatalogReview review = new CatalogReview(catalog);
        catalog.routes().forEach(review::reviewRoute);
        review.reviewServices();
        catalog.keys().organisations().forEach(review::reviewOrganisation);
        review.reviewLimits(catalog.limits());
        return List.copyOf(review.findings);
    }

    private void reviewRoute(Route route) {
        String entry = "Routes/" + route.name();
        Optional<Route> matching = catalog.route(route.host(), route.pathPrefix());
        if (matching.filter(found -> found != route).isPresent()) {
            String other = matching.get().name();
            add(FindingKind.ROUTE_NEVER_MATCHES, entry, "route " + other + " has the same host and path prefix");
        }
        reviewServicesOf(route, entry);
        if (route.timeoutMs() > 0 && route.timeoutMs() < route.latencyObjectiveMs()) {
            add(
                    FindingKind.TIME_LIMIT_BELOW_OBJECTIVE,
                    entry,
                    "the time limit of " + route.timeoutMs() + " ms is below the objective of "
                            + route.latencyObjectiveMs() + " ms");
        }
        if (route.maxAttempts() > 1 && !route.mayRunAgain()) {
            add(
                    FindingKind.ATTEMPTS_WITHOUT_EFFECT,
                    entry,
                    route.maxAttempts() + " upstreams may run a request, but its kind runs once at most");
        }
        boolean hasStreamSettings = route.resumable() || route.eventGapObjectiveMs() > 0;
        if (hasStreamSettings && !route.kind().isStreaming()) {
            add(
                    FindingKind.STREAM_SETTING_WITHOUT_EFFECT,
                    entry,
                    "resuming and the longest pause apply to streams only");
        }
    }

    private void reviewServicesOf(Route route, String entry) {
        if (route.services().isEmpty()) {
            add(FindingKind.UNKNOWN_SERVICE, entry, "the route names no service; expected one of Services");
        }
        for (WeightedService share : route.services()) {
            if (!catalog.services().containsKey(share.service())) {
                add(
                        FindingKind.UNKNOWN_SERVICE,
                        entry,
                        "service " + share.service() + " is not configured; expected one of Services");
            }
        }
    }

    private void reviewServices() {
        Set<String> used = new HashSet<>();
        catalog.routes().forEach(route -> route.services().forEach(share -> used.add(share.service())));
        catalog.services().keySet().stream()
                .filter(service -> !used.contains(service))
                .sorted()
                .forEach(service ->
                        add(FindingKind.SERVICE_NEVER_USED, "Services/" + service, "no route leads to the service"));
    }

    private void reviewOrganisation(Organisation organisation) {
        String entry = "Tenants/" + organisation.name();
        if (catalog.keys().keysOf(organisation.name()).isEmpty()) {
            add(FindingKind.ORGANISATION_WITHOUT_KEY, entry, "there is no key with which anybody could call");
        }
        if (organisation.prepaidTokens().orElse(1) <= 0) {
            add(FindingKind.EMPTY_BUDGET, entry, "the prepaid budget has no tokens, so all generations are refused");
        }
        for (Route route : catalog.routes()) {
            Optional<Set<String>> regions =
                    organisation.regions().and(route.regions()).regions();
            if (regions.isPresent() && regions.get().isEmpty()) {
                add(
                        FindingKind.NO_COMMON_REGION,
                        entry,
                        "no region is allowed by both the organisation and route " + route.name());
            }
        }
    }

    private void reviewLimits(CallerLimits limits) {
        if (limits.idleTimeoutMs() < limits.headerTimeoutMs()) {
            add(
                    FindingKind.IDLE_LIMIT_BELOW_HEAD_LIMIT,
                    "Limits",
                    "connections are closed after " + limits.idleTimeoutMs()
                            + " ms without a byte, but a head may take " + limits.headerTimeoutMs() + " ms");
        }
    }

    private void add(FindingKind kind, String entry, String message) {
        findings.add(new Finding(kind, entry, message));
    }
}
