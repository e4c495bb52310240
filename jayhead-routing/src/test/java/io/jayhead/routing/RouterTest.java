package io.jayhead.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against requests that go to an unsuitable engine or all to the same one. This happens if a router ignores
 * leaving marks or missing models, counts its own requests wrongly, or trusts outdated reports and cache events.
 */
class RouterTest {

    private static final int ENGINES = 4;

    /** Guards against requests to engines that are leaving, stale, excluded or without the model. */
    @Property
    void neverChoosesAnEngineThatMustNotServe(
            @ForAll @Size(ENGINES) List<@IntRange(max = 6) Integer> faults, @ForAll long randomBits) {
        RoutingState state = Fixtures.state(ENGINES, RoutingPolicy.ESTIMATED_FIRST_TOKEN);
        for (int i = 0; i < ENGINES; i++) {
            state = withFault(state, Fixtures.engine(i), faults.get(i));
        }
        RoutingRequest request = Fixtures.request().retry(Set.of(Fixtures.engine(0)), Optional.empty());
        var outcome = Router.choose(state, request, 10_000, randomBits);
        boolean anyFresh = faults.subList(1, ENGINES).stream().anyMatch(fault -> fault >= 5);
        boolean anyStale = faults.subList(1, ENGINES).contains(4);
        assertEquals(anyFresh || anyStale, outcome.isRight());
        outcome.toOptional().ifPresent(decision -> {
            int number = Integer.parseInt(decision.upstream().value().substring("engine-".length()));
            assertTrue(number > 0 && faults.get(number) >= (anyFresh ? 5 : 4), decision.toString());
            assertEquals(!anyFresh, decision.reason().contains("no upstream is fresh"));
        });
    }

    private static RoutingState withFault(RoutingState state, UpstreamName engine, int fault) {
        LoadReport draining = new LoadReport(0, 0, 8, 400, true, 0, Set.of("large-v3"), Set.of("plan-adapter"));
        LoadReport noAdapter = new LoadReport(0, 0, 8, 400, false, 0, Set.of("large-v3"), Set.of());
        return switch (fault) {
            case 0 -> state;
            case 1 -> state.withReport(engine, draining, 10_000);
            case 2 -> state.withReport(engine, noAdapter, 10_000);
            case 3 ->
                state.withReport(engine, Fixtures.report(0, 0, 0), 10_000)
                        .withLeaving(LeavingSource.PEER, peerMarksWith(state, engine));
            case 4 -> state.withReport(engine, Fixtures.report(0, 0, 2_000), 8_000);
            default -> state.withReport(engine, Fixtures.report(0, fault, 500), 10_000);
        };
    }

    private static Set<UpstreamName> peerMarksWith(RoutingState state, UpstreamName engine) {
        Set<UpstreamName> marked = new HashSet<>(Set.of(engine));
        state.upstreams().forEach((name, upstream) -> {
            if (upstream.leavingMarks().contains(LeavingSource.PEER)) {
                marked.add(name);
            }
        });
        return marked;
    }

    /** Guards against routers that all choose the same engine because they have the same reports. */
    @Example
    void spreadsRequestsOverNearBestEngines() {
        RoutingState state = idle();
        Map<UpstreamName, Integer> chosen = chosen(state);
        assertEquals(ENGINES, chosen.size());
        assertTrue(chosen.values().stream().allMatch(count -> count < 700), chosen.toString());
    }

    /** Guards against a healthy engine that gets no requests after a single silent failure. */
    @Example
    void keepsUsingAnEngineAfterOneSilentFailure() {
        int after = chosen(idle().withSilentFailure(Fixtures.engine(0), 9_000)).getOrDefault(Fixtures.engine(0), 0);
        assertTrue(after > 0 && after < chosen(idle()).get(Fixtures.engine(0)), "chosen " + after + " of 1000");
    }

    /** Guards against own requests that are counted twice, in the report and in addition to it, or not at all. */
    @Example
    void countsOwnRequestsOnlyIfTheReportCannotIncludeThem() {
        UpstreamName engine = Fixtures.engine(0);
        RoutingState state = idle().withSent(engine, "before", Fixtures.request(), 9_000)
                .withSent(engine, "after", Fixtures.request(), 9_800)
                .withReport(engine, Fixtures.report(1, 8, 500), 10_000);
        assertEquals(1, state.upstream(engine).sentSinceReport());
        assertTrue(
                estimateMs(state, engine) > estimateMs(state.withFinished(engine, "after", 0, 10_000), engine) + 400);
        assertEquals(
                0,
                state.withFinished(engine, "after", 10, 10_100).upstream(engine).sentSinceReport());
    }

    /** Guards against requests to a service with an unready dependency, and against a refusal that does not name it. */
    @Example
    void refusesAServiceWhoseDependencyIsNotReadyAndNamesTheChain() {
        RoutingState state = Fixtures.state(1, RoutingPolicy.ESTIMATED_FIRST_TOKEN);
        RoutingRequest request = RoutingRequest.of(Fixtures.DIGEST, 5, "", 10, Fixtures.ZONE);
        RoutingRefusal refusal = Router.choose(state, request, 0, 0).getLeft();
        assertEquals(ErrorCode.DEPENDENCY_NOT_READY, refusal.code());
        assertEquals("service/digest <- model/large <- engine-0: no load report yet", refusal.reason());
        Readiness unknown = Readiness.of(state.fleet(), state, ServiceName.of("none"), 0);
        assertEquals(List.of("service/none", "not in the fleet"), unknown.chain());
    }

    /** Guards against an unchanged likelihood of cache hits after lost events or after a restart of the engine. */
    @Example
    void lowersTheLikelihoodAfterAGapAndForgetsAfterARestart() {
        CacheEvent stored = new CacheEvent(0, CacheEvent.Operation.STORED, "ab");
        PrefixIndex index = PrefixIndex.empty().withEvents(List.of(stored), 1, false, 0);
        double before = index.likelihood("ab", 0);
        assertTrue(before > 0.9);
        assertEquals(before / 2, index.withEvents(List.of(), 5, false, 0).likelihood("ab", 0), 0.01);
        assertEquals(0, index.withEvents(List.of(), 0, false, 0).likelihood("ab", 0));
        for (int i = 0; i < 2 * PrefixIndex.MAX_PREFIXES; i++) {
            index = index.withSent(Integer.toHexString(i + 4_096), i);
        }
        assertEquals(PrefixIndex.MAX_PREFIXES, index.size());
    }

    private static double estimateMs(RoutingState state, UpstreamName engine) {
        return Router.choose(state, Fixtures.request(), 10_000, 0).get().candidates().stream()
                .filter(candidate -> candidate.upstream().equals(engine))
                .mapToDouble(Candidate::estimatedFirstTokenMs)
                .sum();
    }

    private static RoutingState idle() {
        RoutingState state = Fixtures.state(ENGINES, RoutingPolicy.ESTIMATED_FIRST_TOKEN);
        for (int i = 0; i < ENGINES; i++) {
            state = state.withReport(Fixtures.engine(i), Fixtures.report(0, 0, 500), 10_000);
        }
        return state;
    }

    private static Map<UpstreamName, Integer> chosen(RoutingState state) {
        Random random = new Random(7);
        Map<UpstreamName, Integer> counts = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            RoutingDecision decision = Router.choose(state, Fixtures.request(), 10_000, random.nextLong())
                    .get();
            counts.merge(decision.upstream(), 1, Integer::sum);
        }
        return counts;
    }
}
