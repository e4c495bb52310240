package io.jayhead.gateway.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.gateway.wire.CallerMetadata;
import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import io.jayhead.routing.catalog.RouteKind;
import io.jayhead.routing.catalog.ServiceProfile;
import io.jayhead.routing.catalog.UpstreamRanks;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class AdmittedRequestTest {

    /** Guards against budgets in which short urgent requests are refused while large ones that can wait are served. */
    @Test
    void thePriorityOfAnOrganisationDoesNotHideThoseOfItsRoutesInItsBudget() {
        assertEquals(0, request(OptionalInt.of(1), 0).budgetRank());
        assertEquals(2, request(OptionalInt.of(1), 2).budgetRank());
        assertEquals(2, request(OptionalInt.empty(), 2).budgetRank());
    }

    private static AdmittedRequest request(OptionalInt organisationPriority, int routePriority) {
        Route route = new Route(
                "r", "h", "/", RouteKind.STREAMING, List.of(), 1_000, 100, routePriority, 1, false, false, 100);
        CallerMetadata metadata =
                new CallerMetadata("id", OptionalLong.empty(), Optional.empty(), Optional.empty(), false, List.of());
        Organisation organisation = new Organisation("shop", organisationPriority, OptionalLong.of(1_000));
        ServiceProfile service = new ServiceProfile("s", 1, true, 1, 1, 1, 0, 0);
        UpstreamRanks ranks = Catalog.empty().ranks();
        return new AdmittedRequest(metadata, route, service, Optional.of(organisation), ranks);
    }
}
