package io.jayhead.routing.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.routing.catalog.ServiceProfile;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against upstreams that are taken for warm although they have just started or become cold. */
class WarmUpsTest {

    private static final long WARM_UP_MS = 3_000;
    private static final ServiceProfile LIMITED = new ServiceProfile("pool", 0, true, 0, 0, 0, WARM_UP_MS, 9.9);
    private static final ServiceProfile UNLIMITED = new ServiceProfile("pool", 0, true, 0, 0, 0);
    private static final ZoneEvacuations NO_EVACUATIONS = ZoneEvacuations.none();
    private static final Upstream OLD = upstream("a", 1, 0);

    private final UpstreamRegistry firstList = registry(OLD);
    private final WarmUps warmUps = WarmUps.none().first(firstList, 0);

    @Test
    void upstreamsOfTheFirstListAreWarmUnlessTheirEntrySaysOtherwise() {
        WarmUps first = WarmUps.none().first(registry(OLD, upstream("b", 1, 700)), 100);
        assertFalse(isWarmingUp(first, OLD, 100));
        assertTrue(isWarmingUp(first, upstream("b", 1, 700), 799));
        assertFalse(isWarmingUp(first, upstream("b", 1, 700), 800));
        assertEquals(Set.of("b@1"), first.reported(100));
    }

    @Test
    void anUpstreamThatStartsWarmsUpAlsoIfItsEntryDoesNotSaySo() {
        Upstream started = upstream("b", 5, 0);
        WarmUps next = warmUps.changed(firstList, registry(OLD, started), 1_000);
        assertTrue(isWarmingUp(next, started, 1_000 + WARM_UP_MS - 1));
        assertFalse(isWarmingUp(next, started, 1_000 + WARM_UP_MS));
        assertFalse(isWarmingUp(next, OLD, 1_000));
    }

    @Test
    void anUpstreamThatStartsAgainUnderItsNameWarmsUp() {
        Upstream again = upstream("a", 2, 0);
        WarmUps next = warmUps.changed(firstList, registry(again), 1_000);
        assertTrue(isWarmingUp(next, again, 1_000));
    }

    @Test
    void anUpstreamMayBecomeColdAtAnyTime() {
        Upstream cold = upstream("a", 1, 2_000);
        WarmUps next = warmUps.changed(firstList, registry(cold), 50_000);
        assertTrue(isWarmingUp(next, cold, 51_999));
        assertFalse(isWarmingUp(next, cold, 52_000));
    }

    @Test
    void anEntryThatHasNotChangedDoesNotProlongTheWarmUp() {
        Upstream cold = upstream("a", 1, 2_000);
        WarmUps next = warmUps.changed(firstList, registry(cold), 1_000);
        WarmUps later = next.changed(registry(cold), registry(cold, upstream("b", 1, 0)), 2_500);
        assertTrue(isWarmingUp(later, cold, 2_999));
        assertFalse(isWarmingUp(later, cold, 3_000));
    }

    @Test
    void theUpstreamsOfAZoneThatIsTakenBackWarmUp() {
        ZoneEvacuations takenBack = NO_EVACUATIONS.started("zone-1").ended("zone-1", 9_000);
        assertTrue(warmUps.isWarmingUp(OLD, LIMITED, takenBack, 9_000 + WARM_UP_MS - 1));
        assertFalse(warmUps.isWarmingUp(OLD, LIMITED, takenBack, 9_000 + WARM_UP_MS));
    }

    @Test
    void noUpstreamOfAServiceWithoutALimitWarmsUp() {
        Upstream cold = upstream("a", 1, 2_000);
        WarmUps next = warmUps.changed(firstList, registry(cold), 1_000);
        assertFalse(next.isWarmingUp(cold, UNLIMITED, NO_EVACUATIONS, 1_000));
    }

    private static boolean isWarmingUp(WarmUps warmUps, Upstream upstream, long nowMs) {
        return warmUps.isWarmingUp(upstream, LIMITED, NO_EVACUATIONS, nowMs);
    }

    private static UpstreamRegistry registry(Upstream... upstreams) {
        Map<String, Upstream> byId = new HashMap<>();
        for (Upstream upstream : upstreams) {
            byId.put(upstream.id(), upstream);
        }
        return UpstreamRegistry.of(byId);
    }

    private static Upstream upstream(String id, long startedMs, long warmUpLeftMs) {
        return new Upstream(id, startedMs, "pool", "10.0.0.1", 80, "zone-1", false, 8, warmUpLeftMs);
    }
}
