package io.jayhead.routing.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against healthy upstreams that get no requests after a platform outage. Their registrations lapse while they
 * cannot renew them, and the first list after the outage lacks them. Also guards against entries that are kept forever.
 */
class RegistryTrackerTest {

    private static final Upstream ENGINE = new Upstream("e1", 5, "pool", "10.0.0.1", 80, "z1", false, 8);

    @Test
    void aDeletedEntryIsGoneAtOnceWhileThePlatformIsSound() {
        assertTrue(tracked().deleted("e1", 100).registry().ready("pool").isEmpty());
    }

    @Test
    void anEntryThatLapsedInAnOutageIsKeptUntilItsUpstreamCouldRegisterAgain() {
        RegistryTracker lapsed = tracked().platformRecovered(1_000).listed(Map.of(), 1_010);
        assertEquals(List.of(ENGINE), lapsed.registry().ready("pool"));
        RegistryTracker late = lapsed.expired(1_000 + RegistryTracker.REREGISTRATION_MS);
        assertTrue(late.registry().ready("pool").isEmpty());
    }

    @Test
    void anEntryThatReturnsIsNotExpired() {
        RegistryTracker returned = tracked()
                .platformRecovered(1_000)
                .deleted("e1", 1_010)
                .changed(ENGINE)
                .expired(9_000);
        assertEquals(List.of(ENGINE), returned.registry().ready("pool"));
    }

    @Test
    void aDrainingUpstreamTakesNoRequests() {
        Upstream draining = new Upstream("e1", 5, "pool", "10.0.0.1", 80, "z1", true, 8);
        assertTrue(tracked().changed(draining).registry().ready("pool").isEmpty());
    }

    @Test
    void aRestartedUpstreamIsAnotherIncarnation() {
        Upstream restarted = new Upstream("e1", 6, "pool", "10.0.0.1", 80, "z1", false, 8);
        assertEquals("e1@6", restarted.incarnation());
        assertEquals(List.of(restarted), tracked().changed(restarted).registry().ready("pool"));
    }

    private static RegistryTracker tracked() {
        return RegistryTracker.empty().listed(Map.of("e1", ENGINE), 0);
    }
}
