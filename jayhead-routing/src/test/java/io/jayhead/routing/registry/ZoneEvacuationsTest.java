package io.jayhead.routing.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests to an availability zone that the operators have evacuated. */
class ZoneEvacuationsTest {

    @Test
    void noZoneIsAllowedBeforeTheEvacuationsWereRead() {
        assertFalse(ZoneEvacuations.unread().allows("zone-1"));
        assertFalse(ZoneEvacuations.unread().started("zone-2").allows("zone-1"));
        assertTrue(ZoneEvacuations.unread().listed(Set.of(), 10).allows("zone-1"));
    }

    @Test
    void aDeploymentWithoutEvacuationsAllowsAllZones() {
        assertTrue(ZoneEvacuations.none().allows("zone-1"));
    }

    @Test
    void anEvacuationLastsUntilItsRemoval() {
        ZoneEvacuations evacuated = ZoneEvacuations.none().started("zone-1").started("zone-2");
        assertFalse(evacuated.allows("zone-1"));
        assertTrue(evacuated.allows("zone-3"));
        ZoneEvacuations removed = evacuated.ended("zone-1", 50);
        assertTrue(removed.allows("zone-1"));
        assertFalse(removed.allows("zone-2"));
    }

    @Test
    void aZoneThatIsNoLongerListedAfterAnOutageWasTakenBack() {
        ZoneEvacuations evacuated = ZoneEvacuations.unread().listed(Set.of("zone-1", "zone-2"), 10);
        ZoneEvacuations next = evacuated.listed(Set.of("zone-2"), 70);
        assertTrue(next.allows("zone-1"));
        assertFalse(next.allows("zone-2"));
        assertEquals(OptionalLong.of(70), next.takenBackAtMs("zone-1"));
        assertEquals(OptionalLong.empty(), next.takenBackAtMs("zone-2"));
    }

    @Test
    void aZoneThatIsEvacuatedAgainIsNotAllowed() {
        ZoneEvacuations again = ZoneEvacuations.none()
                .started("zone-1")
                .ended("zone-1", 50)
                .started("zone-1")
                .started("zone-1");
        assertFalse(again.allows("zone-1"));
        assertTrue(again.ended("zone-1", 90).allows("zone-1"));
        assertEquals(OptionalLong.of(90), again.ended("zone-1", 90).takenBackAtMs("zone-1"));
    }

    /** Both changes may come in one answer, or the first one while the router was away. */
    @Test
    void aZoneWhoseEvacuationWasMissedCountsAsTakenBack() {
        assertEquals(
                OptionalLong.of(50), ZoneEvacuations.none().ended("zone-1", 50).takenBackAtMs("zone-1"));
    }
}
