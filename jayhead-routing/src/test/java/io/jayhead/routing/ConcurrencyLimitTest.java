package io.jayhead.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.model.fleet.UpstreamType;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against queues in the wrong place. Without a limit, requests queue at the engines, where neither priorities
 * nor fairness between organisations apply. With a limit from an outdated report, they queue in a router for no reason.
 */
class ConcurrencyLimitTest {

    private static final UpstreamName ENGINE = UpstreamName.of("e1");

    // Guards against queues at the engines, which do not keep the order between organisations.
    @ParameterizedTest
    @CsvSource({"100, 0, 4, 512", "100, 10, 4, 512", "100, 11, 4, 28", "100, 500, 4, 28", "16, 500, 7, 8"})
    void limitsToTheShareOfThePlacesOnceRequestsWaitAtTheEngines(int slots, int queued, int routers, int expected) {
        assertEquals(expected, ConcurrencyLimit.of(state(slots, queued), routers, 512, 1_000));
    }

    // Guards against a router that limits itself because of the last report of an engine that no longer runs.
    @Test
    void ignoresReportsThatAreTooOld() {
        assertEquals(512, ConcurrencyLimit.of(state(100, 500), 4, 512, 60_000));
    }

    private static RoutingState state(int slots, int queued) {
        UpstreamSpec engine = new UpstreamSpec(
                ENGINE, UpstreamType.MODEL_ENGINE, AvailabilityZone.of("az-1"), "http://127.0.0.1:1", false, false);
        FleetSpec fleet = FleetSpec.of("f", List.of(), List.of(engine), List.of(), List.of(), List.of());
        LoadReport report = new LoadReport(queued, slots, slots, 100, false, 0, Set.of(), Set.of());
        return RoutingState.empty(RoutingParameters.defaults()).withFleet(fleet).withReport(ENGINE, report, 1_000);
    }
}
