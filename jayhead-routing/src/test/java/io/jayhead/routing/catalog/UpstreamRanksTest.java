package io.jayhead.routing.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against upstreams that are told the same rank for urgent and less urgent requests. */
class UpstreamRanksTest {

    private static final OptionalInt NONE = OptionalInt.empty();

    @Test
    void routesOfOrganisationsWithOnePriorityKeepTheirOwnOrder() {
        UpstreamRanks ranks = UpstreamRanks.of(List.of(OptionalInt.of(1), OptionalInt.of(1)), List.of(2, 0, 1));
        int urgent = ranks.rankOf(UpstreamRanks.place(OptionalInt.of(1), 0));
        int normal = ranks.rankOf(UpstreamRanks.place(OptionalInt.of(1), 1));
        int patient = ranks.rankOf(UpstreamRanks.place(OptionalInt.of(1), 2));
        assertTrue(urgent < normal && normal < patient, urgent + ", " + normal + ", " + patient);
    }

    @Test
    void thePriorityOfAnOrganisationGoesBeforeThatOfTheRoute() {
        UpstreamRanks ranks = UpstreamRanks.of(List.of(OptionalInt.of(0), OptionalInt.of(3)), List.of(0, 2));
        int first = ranks.rankOf(UpstreamRanks.place(OptionalInt.of(0), 2));
        int second = ranks.rankOf(UpstreamRanks.place(OptionalInt.of(3), 0));
        assertTrue(first < second);
    }

    @Test
    void withoutOrganisationsTheRanksFollowTheRoutes() {
        UpstreamRanks ranks = UpstreamRanks.of(List.of(), List.of(5, 0, 9));
        assertEquals(0, ranks.rankOf(UpstreamRanks.place(NONE, 0)));
        assertEquals(1, ranks.rankOf(UpstreamRanks.place(NONE, 5)));
        assertEquals(2, ranks.rankOf(UpstreamRanks.place(NONE, 9)));
    }

    @Test
    void ranksStayWithinThoseOfUpstreamsAndNeverReverseTheOrder() {
        List<OptionalInt> organisations =
                IntStream.range(0, 10).mapToObj(OptionalInt::of).toList();
        List<Integer> routes = IntStream.range(0, 10).boxed().toList();
        UpstreamRanks ranks = UpstreamRanks.of(organisations, routes);
        int before = 0;
        for (int place = 0; place < 100; place++) {
            int rank = ranks.rankOf(place);
            assertTrue(rank >= before && rank <= 9, "place " + place + " has rank " + rank);
            before = rank;
        }
    }

    @Test
    void aPlaceThatTheConfigurationDoesNotKnowHasARankToo() {
        assertEquals(0, UpstreamRanks.of(List.of(), List.of()).rankOf(42));
    }
}
