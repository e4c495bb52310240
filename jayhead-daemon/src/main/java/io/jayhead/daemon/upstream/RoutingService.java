package io.jayhead.daemon.upstream;

import com.google.common.flogger.FluentLogger;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.daemon.fleet.FleetView;
import io.jayhead.daemon.observe.DecisionLog;
import io.jayhead.dispatch.ConnectionCommand;
import io.jayhead.dispatch.ConnectionHealth;
import io.jayhead.model.Either;
import io.jayhead.model.ServiceName;
import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import io.jayhead.routing.CacheEvent;
import io.jayhead.routing.Candidate;
import io.jayhead.routing.LeavingSource;
import io.jayhead.routing.LoadReport;
import io.jayhead.routing.Readiness;
import io.jayhead.routing.Router;
import io.jayhead.routing.RoutingDecision;
import io.jayhead.routing.RoutingParameters;
import io.jayhead.routing.RoutingRefusal;
import io.jayhead.routing.RoutingRequest;
import io.jayhead.routing.RoutingState;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

/** Holds the routing state and chooses upstreams; confined to the control thread. */
public final class RoutingService {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final HybridClock clock;
    private final UpstreamHttpClients http;
    private final DecisionLog decisions;
    private volatile RoutingState state;
    private ConnectionHealth health = ConnectionHealth.empty();

    /**
     * Creates the service.
     *
     * @param parameters the routing parameters
     * @param clock the clock
     * @param http the HTTP clients, whose connection pools are dropped after silent failures
     * @param decisions the decision log
     */
    public RoutingService(
            RoutingParameters parameters, HybridClock clock, UpstreamHttpClients http, DecisionLog decisions) {
        this.state = RoutingState.empty(parameters);
        this.clock = clock;
        this.http = http;
        this.decisions = decisions;
    }

    /**
     * Replaces the configuration that routing uses.
     *
     * @param view the newly adopted configuration
     */
    public void onConfigurationAdopted(FleetView view) {
        state = state.withFleet(view.spec());
    }

    /**
     * Chooses an upstream for a request, logs the decision and counts the request as in flight there.
     *
     * @param requestId the id of the request in the decision log
     * @param request the properties that routing depends on
     * @return the decision, or the refusal if no upstream can take the request
     */
    public Either<RoutingRefusal, RoutingDecision> choose(String requestId, RoutingRequest request) {
        long nowMs = clock.nowMs();
        Either<RoutingRefusal, RoutingDecision> result =
                Router.choose(state, request, nowMs, ThreadLocalRandom.current().nextLong());
        if (!result.isRight()) {
            RoutingRefusal refusal = result.getLeft();
            decisions.record(
                    "routing",
                    requestId,
                    "service=%s refused=%s candidates=[%s] reason=\"%s\"",
                    request.service(),
                    refusal.code().code(),
                    describe(refusal.candidates()),
                    refusal.reason());
            return result;
        }
        RoutingDecision decision = result.get();
        decisions.record(
                "routing",
                requestId,
                "service=%s upstream=%s candidates=[%s] reason=\"%s\"",
                request.service(),
                decision.upstream(),
                describe(decision.candidates()),
                decision.reason());
        state = state.withSent(decision.upstream(), requestId, request, nowMs);
        return result;
    }

    /**
     * Records that the first token of a request arrived.
     *
     * @param upstream the upstream
     * @param requestId the request
     */
    public void recordFirstToken(UpstreamName upstream, String requestId) {
        state = state.withFirstToken(upstream, requestId, clock.nowMs());
    }

    /**
     * Records that an attempt ended.
     *
     * @param upstream the upstream
     * @param requestId the request
     * @param outputTokens the number of output tokens received
     */
    public void recordAttemptEnd(UpstreamName upstream, String requestId, long outputTokens) {
        state = state.withFinished(upstream, requestId, outputTokens, clock.nowMs());
    }

    /**
     * Records that a connection to an upstream stayed open but made no progress. The connection pool of the upstream
     * may be dropped as a result.
     *
     * @param upstream the upstream
     * @param sentMs the time at which the silent attempt was sent
     */
    public void recordSilentFailure(UpstreamName upstream, long sentMs) {
        long nowMs = clock.nowMs();
        state = state.withSilentFailure(upstream, nowMs);
        Transition<ConnectionHealth, ConnectionCommand> transition = health.withSilentFailure(upstream, sentMs, nowMs);
        health = transition.state();
        transition.commands().forEach(this::execute);
    }

    /**
     * Records a load report of an upstream, which also counts as progress of its connections.
     *
     * @param upstream the upstream
     * @param report the report
     * @param sentMs the time at which the report was requested
     */
    public void recordLoadReport(UpstreamName upstream, LoadReport report, long sentMs) {
        state = state.withReport(upstream, report, clock.nowMs());
        Transition<ConnectionHealth, ConnectionCommand> transition = health.withProgress(upstream, sentMs);
        health = transition.state();
        transition.commands().forEach(this::execute);
    }

    /**
     * Records cache events of a model engine.
     *
     * @param upstream the upstream
     * @param events the events
     * @param next the sequence number from which to request events next
     * @param gap whether events are missing
     */
    public void recordCacheEvents(UpstreamName upstream, List<CacheEvent> events, long next, boolean gap) {
        state = state.withCacheEvents(upstream, events, next, gap, clock.nowMs());
    }

    /**
     * Replaces the set of leaving upstreams that a source reports.
     *
     * @param source where the information comes from
     * @param leaving the upstreams
     */
    public void setLeaving(LeavingSource source, Set<UpstreamName> leaving) {
        state = state.withLeaving(source, leaving);
    }

    /**
     * Tells whether at least one upstream has reported its load, so that requests can be routed; may be called from any
     * thread.
     *
     * @return true if an upstream has reported, or if the configuration has no upstreams
     */
    public boolean hasReports() {
        RoutingState current = state;
        return current.fleet().upstreams().isEmpty()
                || current.fleet().upstreams().keySet().stream()
                        .anyMatch(name -> current.upstream(name).report().isPresent());
    }

    /**
     * Returns the routing state.
     *
     * @return the current immutable state
     */
    public RoutingState state() {
        return state;
    }

    /**
     * Tells whether a service is ready and, if not, which chain of dependencies leads to the cause.
     *
     * @param service the service
     * @return the readiness
     */
    public Readiness readiness(ServiceName service) {
        return Readiness.of(state.fleet(), state, service, clock.nowMs());
    }

    private void execute(ConnectionCommand command) {
        LOGGER.atInfo().log("upstream connection command=%s", command);
        if (command instanceof ConnectionCommand.DropPool drop) {
            http.dropPool(drop.upstream());
        }
    }

    private static String describe(List<Candidate> candidates) {
        return candidates.stream()
                .map(candidate -> String.format(
                        "%s:%.0fms,cache=%.2f%s%s",
                        candidate.upstream(),
                        candidate.estimatedFirstTokenMs(),
                        candidate.cacheLikelihood(),
                        candidate.sameZone() ? ",local" : "",
                        candidate.note().isEmpty() ? "" : "," + candidate.note()))
                .collect(Collectors.joining(" "));
    }
}
