package io.jayhead.routing.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.routing.registry.Upstream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against engines that fail because the generations sent to them exceed their memory before their slots. */
class EngineMemoryTest {

    private static final long CAPACITY_TOKENS = 400_000;
    private static final int PROMPT_TOKENS = 12_000;
    private static final int OUTPUT_TOKENS = 400;
    private static final int SLOTS = 64;
    private static final ServiceRates LEARNED =
            ServiceRates.defaults().withFirstEvent(100, new ExpectedWork(1_000, 1, 46), 0);

    @Test
    void longGenerationsNeverExceedTheMemoryOfAnyEngine() {
        long[] ownTokens = new long[4];
        int placed = 0;
        for (int request = 0; request < 4 * SLOTS; request++) {
            Optional<PlacementChoice> choice = Placement.choose(engines(ownTokens), generation(), LEARNED);
            if (choice.isPresent()) {
                int engine =
                        Integer.parseInt(choice.get().candidate().upstream().id());
                ownTokens[engine] += choice.get().memoryTokens();
                placed++;
            }
        }
        assertEquals(4 * (CAPACITY_TOKENS / (PROMPT_TOKENS + OUTPUT_TOKENS)), placed);
        for (long tokens : ownTokens) {
            assertTrue(tokens <= CAPACITY_TOKENS);
        }
    }

    @Test
    void anEngineThatOtherRoutersFillIsChosenLast() {
        PlacementCandidate full = engine("full", 0, 1, 0, 0.9 * CAPACITY_TOKENS);
        PlacementCandidate busy = engine("busy", 30, 30, 100_000, 100_000);
        assertEquals(EngineMemory.PROBABLY_FULL, EngineMemory.of(full.work(), PROMPT_TOKENS, CAPACITY_TOKENS));
        assertEquals("busy", chosen(List.of(full, busy)));
        assertEquals("full", chosen(List.of(full)));
    }

    @Test
    void withoutAKnownMemoryNothingIsFull() {
        assertEquals(
                EngineMemory.ENOUGH,
                EngineMemory.of(engine("e", 64, 0, 1_000_000, 0).work(), 1, 0));
    }

    private static String chosen(List<PlacementCandidate> engines) {
        return Placement.choose(engines, generation(), LEARNED)
                .get()
                .candidate()
                .upstream()
                .id();
    }

    private static PlacementRequest generation() {
        return new PlacementRequest(true, PROMPT_TOKENS, OUTPUT_TOKENS, CAPACITY_TOKENS, 0, "", Set.of(), Set.of(), 1);
    }

    private static List<PlacementCandidate> engines(long[] ownTokens) {
        List<PlacementCandidate> engines = new ArrayList<>();
        for (int index = 0; index < ownTokens.length; index++) {
            engines.add(engine(Integer.toString(index), 0, 0, ownTokens[index], 0));
        }
        return engines;
    }

    private static PlacementCandidate engine(
            String id, int inFlight, double otherRequests, long ownTokens, double otherTokens) {
        Upstream upstream = new Upstream(id, 0, "pool", "10.0.0.1", 80, "z1", false, SLOTS);
        UpstreamWork work = new UpstreamWork(SLOTS, inFlight, otherRequests, 0, ownTokens, otherTokens);
        return new PlacementCandidate(upstream, work, false, true, 0, 1, 1);
    }
}
