package io.jayhead.routing.review;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.routing.catalog.AllowedRegions;
import io.jayhead.routing.catalog.CallerKeys;
import io.jayhead.routing.catalog.CallerLimits;
import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import io.jayhead.routing.catalog.RouteKind;
import io.jayhead.routing.catalog.ServiceProfile;
import io.jayhead.routing.catalog.WeightedService;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against entries without effect that nobody notices, and against warnings about sound configurations. */
class CatalogReviewTest {

    private static final Route CHAT = streaming("chat", "/chat/", 2, true);
    private static final Organisation SHOP = organisation(1_000, AllowedRegions.all());

    @Test
    void aSoundConfigurationHasNoFindings() {
        assertEquals(List.of(), CatalogReview.of(catalog(1, List.of(CHAT), List.of(SHOP), CallerLimits.DEFAULT)));
    }

    @Test
    void aSecondRouteWithTheSamePrefixNeverMatches() {
        assertKinds(List.of(CHAT, streaming("copy", "/chat/", 1, false)), FindingKind.ROUTE_NEVER_MATCHES);
    }

    @Test
    void aRouteToAnUnknownServiceIsAnError() {
        assertKinds(List.of(CHAT, route("b", "/b/", RouteKind.IDEMPOTENT, "none", 1)), FindingKind.UNKNOWN_SERVICE);
    }

    @Test
    void aServiceWithoutARouteIsNeverUsed() {
        assertKinds(List.of(), FindingKind.SERVICE_NEVER_USED);
    }

    @Test
    void bookingsAreNotSentTwiceWhateverTheirAttempts() {
        assertKinds(
                List.of(CHAT, route("book", "/b/", RouteKind.AT_MOST_ONCE, "pool", 3)),
                FindingKind.ATTEMPTS_WITHOUT_EFFECT);
    }

    @Test
    void settingsOfStreamsHaveNoEffectOnOtherRoutes() {
        Route resumed = new Route("r", "h", "/r/", RouteKind.IDEMPOTENT, pool(), 1_000, 100, 1, 1, false, true, 0);
        assertKinds(List.of(CHAT, resumed), FindingKind.STREAM_SETTING_WITHOUT_EFFECT);
    }

    @Test
    void aTimeLimitBelowTheObjectiveIsAContradiction() {
        Route hurried = new Route("r", "h", "/r/", RouteKind.IDEMPOTENT, pool(), 50, 100, 1, 1, false, false, 0);
        assertKinds(List.of(CHAT, hurried), FindingKind.TIME_LIMIT_BELOW_OBJECTIVE);
    }

    @Test
    void anOrganisationThatNobodyCanUseIsFound() {
        Organisation keyless = new Organisation("keyless", OptionalInt.empty(), OptionalLong.of(5));
        assertKinds(List.of(CHAT), List.of(SHOP, keyless), FindingKind.ORGANISATION_WITHOUT_KEY);
        assertKinds(List.of(CHAT), List.of(organisation(0, AllowedRegions.all())), FindingKind.EMPTY_BUDGET);
    }

    @Test
    void regionsOfRouteAndOrganisationWithoutACommonOneAreFound() {
        Route north = new Route(
                "n",
                "h",
                "/n/",
                RouteKind.IDEMPOTENT,
                pool(),
                1_000,
                100,
                1,
                1,
                false,
                false,
                0,
                AllowedRegions.of(Set.of("north")));
        assertKinds(
                List.of(north),
                List.of(organisation(5, AllowedRegions.of(Set.of("south")))),
                FindingKind.NO_COMMON_REGION);
    }

    @Test
    void anIdleLimitBelowThatOfHeadsIsAContradiction() {
        CallerLimits limits = new CallerLimits(16_384, 1_000_000, 5_000, 1_000);
        List<Finding> findings = CatalogReview.of(catalog(1, List.of(CHAT), List.of(SHOP), limits));
        assertEquals(List.of(FindingKind.IDLE_LIMIT_BELOW_HEAD_LIMIT), kinds(findings));
    }

    @Test
    void theEffectOfEachChangeIsListed() {
        Catalog inForce =
                catalog(1, List.of(CHAT, streaming("old", "/old/", 1, false)), List.of(SHOP), CallerLimits.DEFAULT);
        Catalog next = catalog(
                2,
                List.of(streaming("chat", "/chat/", 1, true), streaming("new", "/new/", 1, false)),
                List.of(organisation(500, AllowedRegions.all())),
                CallerLimits.DEFAULT);
        List<String> entries = CatalogComparison.of(inForce, next).stream()
                .map(change -> change.entry() + ": " + change.effect())
                .toList();
        assertEquals(
                List.of(
                        "Routes/chat: requests under way end as they began; new ones follow the new values",
                        "Routes/new: requests there are taken from then on",
                        "Routes/old: requests under way end as they began; new ones get 404",
                        "Tenants/shop: what routers have taken stays spent; generations beyond the rest get 402"),
                entries);
        assertEquals(List.of(), CatalogComparison.of(next, next));
        assertEquals(
                FindingKind.VERSION_NOT_HIGHER,
                CatalogComparison.versionFinding(next, inForce).orElseThrow().kind());
    }

    private static void assertKinds(List<Route> routes, FindingKind... expected) {
        assertKinds(routes, List.of(SHOP), expected);
    }

    private static void assertKinds(List<Route> routes, List<Organisation> organisations, FindingKind... expected) {
        assertEquals(
                List.of(expected), kinds(CatalogReview.of(catalog(1, routes, organisations, CallerLimits.DEFAULT))));
    }

    private static List<FindingKind> kinds(List<Finding> findings) {
        return findings.stream().map(Finding::kind).toList();
    }

    private static Catalog catalog(
            long version, List<Route> routes, List<Organisation> organisations, CallerLimits limits) {
        Map<String, ServiceProfile> services = Map.of("pool", new ServiceProfile("pool", 1, true, 1, 1, 1));
        CallerKeys keys = CallerKeys.of(organisations, Map.of("key", organisations.get(0)));
        return Catalog.of(version, routes, services, keys, limits);
    }

    private static Organisation organisation(long tokens, AllowedRegions regions) {
        return new Organisation("shop", OptionalInt.empty(), OptionalLong.of(tokens), regions);
    }

    private static Route streaming(String name, String prefix, int attempts, boolean resumable) {
        return new Route(name, "h", prefix, RouteKind.STREAMING, pool(), 1_000, 100, 1, attempts, false, resumable, 50);
    }

    private static Route route(String name, String prefix, RouteKind kind, String service, int attempts) {
        return new Route(
                name,
                "h",
                prefix,
                kind,
                List.of(new WeightedService(service, 1)),
                1_000,
                100,
                1,
                attempts,
                false,
                false,
                0);
    }

    private static List<WeightedService> pool() {
        return List.of(new WeightedService("pool", 1));
    }
}
