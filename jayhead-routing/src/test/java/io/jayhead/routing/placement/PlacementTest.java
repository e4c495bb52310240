package io.jayhead.routing.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.routing.registry.Upstream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against two faults of cache affinity: requests that share a prompt part spread over many engines, each of
 * which reads the part again, or they stay with the preferred engine although it has a long queue, is slow or fails.
 */
class PlacementTest {

    @Test
    void requestsThatShareAPromptPartGoToTheSameEngineWhileItIsFree() {
        assertEquals(1, choices(engines(13, 0, 0), "part").size());
    }

    @Test
    void onlyOneOtherEngineReadsASharedPartWhenItsFirstEngineIsBusy() {
        List<PlacementCandidate> engines = new ArrayList<>(engines(13, 0, 0));
        Set<String> first = choices(engines, "part");
        engines.replaceAll(engine -> first.contains(engine.upstream().id())
                ? candidate(engine.upstream().id(), 4, 30_000, false)
                : engine);
        assertEquals(1, choices(engines, "part").size());
    }

    @Test
    void differentPartsSpreadOverAllEngines() {
        Set<String> used = new HashSet<>();
        for (int part = 0; part < 100; part++) {
            used.addAll(choices(engines(13, 0, 0), "part" + part));
        }
        assertEquals(13, used.size());
    }

    @Test
    void aHotPartSpreadsWhenItsEnginesHaveAQueue() {
        List<PlacementCandidate> engines = new ArrayList<>(engines(6, 0, 0));
        Set<String> preferred = choices(engines, "hot");
        engines.replaceAll(engine -> preferred.contains(engine.upstream().id())
                ? candidate(engine.upstream().id(), 10, 60_000, false)
                : engine);
        Set<String> second = choices(engines, "hot");
        engines.replaceAll(engine -> second.contains(engine.upstream().id())
                ? candidate(engine.upstream().id(), 10, 60_000, false)
                : engine);
        preferred.addAll(second);
        assertFalse(preferred.contains(chosen(engines, generation("hot", 1))));
    }

    @Test
    void overflowGoesWhereThePartHasBeenRead() {
        List<PlacementCandidate> engines = new ArrayList<>(engines(6, 0, 0));
        String first = chosen(engines, generation("hot", 1));
        engines.replaceAll(
                engine -> engine.upstream().id().equals(first) ? candidate(first, 10, 60_000, false) : engine);
        String second = chosen(engines, generation("hot", 1));
        String holder = engines.stream()
                .map(engine -> engine.upstream().id())
                .filter(id -> !id.equals(first) && !id.equals(second))
                .findAny()
                .get();
        PlacementRequest request =
                new PlacementRequest(true, 12_000, 0, 0, 5_000, "hot", Set.of(holder + "@0"), Set.of(), 1);
        assertEquals(holder, chosen(engines, request));
        assertEquals(
                7_000,
                Placement.choose(engines, request, ServiceRates.defaults())
                        .get()
                        .tokensToRead());
    }

    @Test
    void routersThatOverflowTheFirstTwoEnginesAgreeOnTheThird() {
        ServiceRates rates = ServiceRates.defaults().withFirstEvent(100, new ExpectedWork(1_000, 1, 46), 0);
        List<PlacementCandidate> engines = new ArrayList<>(engines(40, 0, 0));
        for (int rank = 0; rank < 2; rank++) {
            String preferred = chosen(engines, generation("hot", 1), rates);
            engines.replaceAll(engine ->
                    engine.upstream().id().equals(preferred) ? candidate(preferred, 10, 60_000, false) : engine);
        }
        Set<String> third = new HashSet<>();
        for (int router = 0; router < 71; router++) {
            third.add(chosen(engines, generation("hot", router), rates));
        }
        assertEquals(1, third.size());
    }

    @Test
    void anEngineThatHoldsTheSharedPartsReadsOnlyTheRest() {
        List<PlacementCandidate> engines = engines(6, 0, 0);
        PlacementRequest request = generation("part", 1);
        assertEquals(
                7_000,
                Placement.choose(engines, request, ServiceRates.defaults())
                        .get()
                        .tokensToRead());
        String holder = chosen(engines, request);
        List<PlacementCandidate> others = engines.stream()
                .map(engine -> engine.upstream().id().equals(holder) ? candidate(holder, 20, 90_000, false) : engine)
                .toList();
        assertEquals(
                12_000,
                Placement.choose(others, request, ServiceRates.defaults()).get().tokensToRead());
    }

    @Test
    void aSuspectUpstreamIsTheLastResort() {
        List<PlacementCandidate> upstreams = List.of(candidate("a", 0, 0, true), candidate("b", 50, 0, false));
        assertEquals("b", chosen(upstreams, plain(Set.of())));
        assertEquals("a", chosen(upstreams, plain(Set.of("b@0"))));
    }

    @Test
    void aSlowEngineGetsNoLongPromptWhileOthersAreFree() {
        List<PlacementCandidate> engines = new ArrayList<>(engines(6, 0, 0));
        String first = chosen(engines, generation("part", 1));
        engines.replaceAll(engine -> engine.upstream().id().equals(first)
                ? new PlacementCandidate(engine.upstream(), UpstreamWork.none(64), false, true, 0, 4, 1)
                : engine);
        assertFalse(chosen(engines, generation("part", 1)).equals(first));
    }

    @Test
    void aGenerationGoesWhereASlotIsFree() {
        ServiceRates rates = ServiceRates.defaults().withStream(2_000, 0);
        List<PlacementCandidate> engines = List.of(loaded("full", 2, 0, 1), loaded("free", 0, 1, 1));
        PlacementRequest request = new PlacementRequest(true, 600, 0, 0, 0, "", Set.of(), Set.of(), 1);
        assertEquals("free", chosen(engines, request, rates));
    }

    @Test
    void workThatStartsNowAvoidsAMachineThatIsSlowNow() {
        List<PlacementCandidate> upstreams = List.of(loaded("slow", 0, 0, 3), loaded("usual", 0, 1, 1));
        assertEquals("usual", chosen(upstreams, plain(Set.of())));
        assertEquals("usual", chosen(upstreams, generation("", 1)));
    }

    @Test
    void noUpstreamIsTriedTwice() {
        assertTrue(Placement.choose(engines(1, 0, 0), plain(Set.of("e0@0")), ServiceRates.defaults())
                .isEmpty());
    }

    private static Set<String> choices(List<PlacementCandidate> engines, String part) {
        Set<String> chosen = new HashSet<>();
        for (int salt = 0; salt < 50; salt++) {
            chosen.add(chosen(engines, generation(part, salt)));
        }
        return chosen;
    }

    private static String chosen(List<PlacementCandidate> candidates, PlacementRequest request) {
        return chosen(candidates, request, ServiceRates.defaults());
    }

    private static String chosen(List<PlacementCandidate> candidates, PlacementRequest request, ServiceRates rates) {
        return Placement.choose(candidates, request, rates)
                .get()
                .candidate()
                .upstream()
                .id();
    }

    private static PlacementRequest generation(String part, int salt) {
        return new PlacementRequest(true, 12_000, 0, 0, 5_000, part, Set.of(), Set.of(), salt);
    }

    private static PlacementRequest plain(Set<String> excluded) {
        return new PlacementRequest(false, 0, 0, 0, 0, "", Set.of(), excluded, 1);
    }

    private static List<PlacementCandidate> engines(int count, int inFlight, long pendingTokens) {
        List<PlacementCandidate> engines = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            engines.add(candidate("e" + index, inFlight, pendingTokens, false));
        }
        return engines;
    }

    private static PlacementCandidate loaded(String id, int inFlight, double otherRequests, double slowdown) {
        Upstream upstream = new Upstream(id, 0, "pool", "10.0.0.1", 80, "z1", false, 2);
        UpstreamWork work = new UpstreamWork(2, inFlight, otherRequests, 0, 0, 0);
        return new PlacementCandidate(upstream, work, false, true, 0, 1, slowdown);
    }

    private static PlacementCandidate candidate(String id, int inFlight, long pendingTokens, boolean suspect) {
        Upstream upstream = new Upstream(id, 0, "pool", "10.0.0.1", 80, "z1", false, 64);
        UpstreamWork work = new UpstreamWork(64, inFlight, 0, pendingTokens, 0, 0);
        return new PlacementCandidate(upstream, work, suspect, true, 0, 1, 1);
    }
}
