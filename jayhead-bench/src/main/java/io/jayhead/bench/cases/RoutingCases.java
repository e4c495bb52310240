package io.jayhead.bench.cases;

import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Operation;
import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.routing.ConcurrencyLimit;
import io.jayhead.routing.LeavingSource;
import io.jayhead.routing.LoadReport;
import io.jayhead.routing.Router;
import io.jayhead.routing.RoutingParameters;
import io.jayhead.routing.RoutingRequest;
import io.jayhead.routing.RoutingState;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

/** Measures the choice of an upstream, the updates of the routing state and its retained memory. */
final class RoutingCases {

    private static final Series UPSTREAMS = Series.of("upstreams", 10, 60, 600);
    private static final Series IN_FLIGHT = Series.of("in flight at each of 60 upstreams", 1, 10, 100);

    private static final int UPSTREAMS_FOR_IN_FLIGHT = 60;
    private static final long NOW_MS = 1_000_000;
    private static final int PROMPT_TOKENS = 700;
    private static final int PREFIXES = 256;
    private static final int TARGET_ROUTERS = 330;
    private static final LoadReport REPORT = new LoadReport(2, 20, 32, 700, false, 300, Set.of("weights"), Set.of());

    private RoutingCases() {}

    static List<BenchCase> of(long seed) {
        Stream<BenchCase> byUpstreams = Stream.of(
                        UPSTREAMS.timed("routing: choose", size -> choose(state(size, 1), seed)),
                        UPSTREAMS.timed("routing: report", size -> report(state(size, 1))),
                        UPSTREAMS.timed("routing: sent", size -> sent(state(size, 1))),
                        UPSTREAMS.timed("routing: sent, first token, finished", size -> sendAndFinish(state(size, 1))),
                        UPSTREAMS.timed("routing: cache events page", size -> cacheEvents(state(size, 1))),
                        UPSTREAMS.timed("routing: marks of a peer", size -> peerReportsLeaving(state(size, 1))),
                        UPSTREAMS.timed("routing: concurrency limit", size -> concurrencyLimit(state(size, 1))),
                        UPSTREAMS.retained("routing: state", size -> state(size, 1)),
                        UPSTREAMS.retained(
                                "routing: state with 256 prefixes each", size -> withPrefixes(state(size, 1), size)))
                .flatMap(cases -> cases);
        Stream<BenchCase> byInFlight = Stream.of(
                        IN_FLIGHT.timed("routing: choose", size -> choose(state(UPSTREAMS_FOR_IN_FLIGHT, size), seed)),
                        IN_FLIGHT.timed("routing: report", size -> report(state(UPSTREAMS_FOR_IN_FLIGHT, size))),
                        IN_FLIGHT.timed("routing: sent", size -> sent(state(UPSTREAMS_FOR_IN_FLIGHT, size))),
                        IN_FLIGHT.retained("routing: state", size -> state(UPSTREAMS_FOR_IN_FLIGHT, size)))
                .flatMap(cases -> cases);
        return Stream.concat(byUpstreams, byInFlight).toList();
    }

    private static Operation choose(RoutingState state, long seed) {
        Random random = new Random(seed);
        RoutingRequest request = request("0011223344556677");
        return () -> Router.choose(state, request, NOW_MS, random.nextLong());
    }

    private static Operation report(RoutingState state) {
        return () -> state.withReport(upstream(0), REPORT, NOW_MS);
    }

    private static Operation sent(RoutingState state) {
        RoutingRequest request = request("0011223344556677");
        return () -> state.withSent(upstream(0), "new", request, NOW_MS);
    }

    private static Operation sendAndFinish(RoutingState state) {
        RoutingRequest request = request("0011223344556677");
        return () -> state.withSent(upstream(0), "new", request, NOW_MS)
                .withFirstToken(upstream(0), "new", NOW_MS + 100)
                .withFinished(upstream(0), "new", 300, NOW_MS + 9_000);
    }

    private static Operation cacheEvents(RoutingState state) {
        return () -> state.withCacheEvents(upstream(0), List.of(), 0, false, NOW_MS);
    }

    private static Operation peerReportsLeaving(RoutingState state) {
        return () -> state.withLeaving(LeavingSource.PEER, Set.of());
    }

    private static Operation concurrencyLimit(RoutingState state) {
        return () -> ConcurrencyLimit.of(state, TARGET_ROUTERS, Integer.MAX_VALUE, NOW_MS);
    }

    private static RoutingRequest request(String prefix) {
        return RoutingRequest.of(ServiceName.of("service-0"), 5, prefix, PROMPT_TOKENS, AvailabilityZone.of("az-0"));
    }

    private static RoutingState state(int upstreams, int inFlight) {
        FleetSpec fleet = SyntheticFleet.ofUpstreams(upstreams).spec();
        RoutingState state = RoutingState.empty(RoutingParameters.defaults()).withFleet(fleet);
        LoadReport loaded = new LoadReport(
                REPORT.queued(),
                REPORT.running(),
                REPORT.maxBatch(),
                REPORT.tokensPerSecond(),
                false,
                REPORT.reportAgeMs(),
                Set.of("weights", "model-0"),
                Set.of());
        for (int index = 0; index < upstreams; index++) {
            state = state.withReport(upstream(index), loaded, NOW_MS);
            for (int request = 0; request < inFlight; request++) {
                state = state.withSent(upstream(index), "request-" + request, request(""), NOW_MS);
            }
        }
        return state;
    }

    private static RoutingState withPrefixes(RoutingState state, int upstreams) {
        RoutingState result = state;
        for (int index = 0; index < upstreams; index++) {
            for (int prefix = 0; prefix < PREFIXES; prefix++) {
                String digest = String.format("%016x", prefix);
                result = result.withSent(upstream(index), "request", request(digest), NOW_MS);
            }
        }
        return result;
    }

    private static UpstreamName upstream(int index) {
        return UpstreamName.of("engine-" + index);
    }
}
