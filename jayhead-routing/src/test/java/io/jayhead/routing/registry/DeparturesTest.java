package io.jayhead.routing.registry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against upstreams that left and get requests again because an older copy of the registry lists them. */
class DeparturesTest {

    private static final Upstream ENGINE = new Upstream("e1", 5, "pool", "10.0.0.1", 80, "z1", false, 8);
    private static final UpstreamRegistry LISTED = UpstreamRegistry.of(Map.of("e1", ENGINE));

    @Test
    void anUpstreamThatWasDrainingIsNotReadyAgain() {
        UpstreamRegistry draining = LISTED.with(ENGINE.asDraining());
        Departures departures =
                Departures.empty().changed(LISTED, draining, 100).restored(5_000);
        assertTrue(departures.correct(ENGINE, 200).draining());
    }

    @Test
    void anUpstreamWhoseEntryWasRemovedIsNotReadyAgain() {
        Departures departures = Departures.empty()
                .changed(LISTED, UpstreamRegistry.empty(), 100)
                .restored(5_000);
        assertTrue(departures.correct(ENGINE, 200).draining());
        assertFalse(departures.correct(ENGINE, 5_000).draining(), "it has written its entry again by then");
    }

    @Test
    void aRemovedEntryMayReturnWhileThePlatformHasLostNothing() {
        Departures departures = Departures.empty().changed(LISTED, UpstreamRegistry.empty(), 100);
        assertFalse(departures.correct(ENGINE, 200).draining());
        Departures returned =
                departures.changed(UpstreamRegistry.empty(), LISTED, 300).restored(5_000);
        assertFalse(returned.correct(ENGINE, 400).draining());
    }

    @Test
    void aRestartedUpstreamHasNotLeft() {
        Upstream restarted = new Upstream("e1", 6, "pool", "10.0.0.1", 80, "z1", false, 8);
        Departures departures = Departures.empty()
                .changed(LISTED, UpstreamRegistry.of(Map.of("e1", restarted)), 100)
                .restored(5_000);
        assertFalse(departures.correct(restarted, 200).draining());
    }
}
