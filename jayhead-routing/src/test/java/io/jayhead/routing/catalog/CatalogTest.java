package io.jayhead.routing.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that get the wrong route, service or organisation. This happens if a shorter path prefix wins
 * over a longer one, if the port or the query takes part in the match, or if shares do not follow their weights.
 */
class CatalogTest {

    private static final Organisation SHOP = new Organisation("shop", OptionalInt.empty(), OptionalLong.of(10));
    private static final Catalog CATALOG = Catalog.of(
            3,
            List.of(route("short", "/a/"), route("long", "/a/b/")),
            Map.of(),
            CallerKeys.of(List.of(SHOP), Map.of("key-1", SHOP)),
            CallerLimits.DEFAULT);

    @Test
    void theLongestPrefixOfAHostWins() {
        assertEquals("long", CATALOG.route("H.example:80", "/a/b/c").get().name());
        assertEquals("short", CATALOG.route("h.example", "/a/x?p=/a/b/").get().name());
    }

    @Test
    void otherHostsAndPathsHaveNoRoute() {
        assertTrue(CATALOG.route("other.example", "/a/").isEmpty());
        assertTrue(CATALOG.route("h.example", "/ab/").isEmpty());
    }

    @Test
    void sharesOfARouteFollowTheirWeights() {
        Route split = new Route(
                "r",
                "h",
                "/",
                RouteKind.IDEMPOTENT,
                List.of(new WeightedService("x", 90), new WeightedService("y", 10), new WeightedService("z", 0)),
                0,
                0,
                0,
                1,
                false,
                false,
                0);
        long toY = java.util.stream.IntStream.range(0, 1_000)
                .filter(hash -> split.serviceFor(hash).equals("y"))
                .count();
        assertEquals(100, toY);
    }

    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "h.example",
                prefix,
                RouteKind.IDEMPOTENT,
                List.of(new WeightedService("s", 1)),
                0,
                0,
                0,
                1,
                false,
                false,
                0);
    }
}
