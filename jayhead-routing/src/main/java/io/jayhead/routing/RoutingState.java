package io.jayhead.routing;

import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.UpstreamSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/**
 * Holds the state of all upstreams as known to this router; immutable, so that traffic threads read it without locks.
 *
 * @param fleet the current fleet
 * @param parameters the tuning parameters of upstream selection
 * @param upstreams the state of the fleet's upstreams
 * @param sentCount the number of requests sent so far
 */
public record RoutingState(
        FleetSpec fleet, RoutingParameters parameters, Map<UpstreamName, UpstreamState> upstreams, long sentCount) {

    /** Makes a defensive copy of the map, unless it is the immutable map of another state. */
    public RoutingState {
        upstreams = UpstreamTable.copyOf(upstreams);
    }

    /**
     * Returns a state without a fleet.
     *
     * @param parameters the tuning parameters of upstream selection
     * @return the empty state
     */
    public static RoutingState empty(RoutingParameters parameters) {
        return new RoutingState(FleetSpec.empty(), parameters, Map.of(), 0);
    }

    /**
     * Replaces the fleet. Upstreams that remain in the fleet keep their state.
     *
     * @param newFleet the new fleet
     * @return the new state
     */
    public RoutingState withFleet(FleetSpec newFleet) {
        Map<UpstreamName, UpstreamState> changed = new HashMap<>();
        for (UpstreamSpec spec : newFleet.upstreams().values()) {
            UpstreamState kept = upstream(spec.name()).withLeaving(LeavingSource.FLEET_TEXT, spec.leaving());
            changed.put(spec.name(), kept);
        }
        return new RoutingState(newFleet, parameters, changed, sentCount);
    }

    /**
     * Applies a load report, unless it is older than the last one.
     *
     * @param name the upstream
     * @param report the report
     * @param receivedMs when the report was received
     * @return the new state
     */
    public RoutingState withReport(UpstreamName name, LoadReport report, long receivedMs) {
        return update(name, state -> state.withReport(report, receivedMs));
    }

    /**
     * Records that a request was sent.
     *
     * @param name the upstream
     * @param requestId the id of the request at the upstream
     * @param request the request that was routed
     * @param nowMs the current time
     * @return the new state
     */
    public RoutingState withSent(UpstreamName name, String requestId, RoutingRequest request, long nowMs) {
        SentRequest sent = SentRequest.of(request.promptTokens(), nowMs);
        RoutingState changed = update(name, state -> state.withSent(requestId, sent, request.prefix()));
        return new RoutingState(fleet, parameters, changed.upstreams, sentCount + 1);
    }

    /**
     * Records the first token of a request.
     *
     * @param name the upstream
     * @param requestId the id of the request at the upstream
     * @param nowMs the current time
     * @return the new state
     */
    public RoutingState withFirstToken(UpstreamName name, String requestId, long nowMs) {
        return update(name, state -> state.withFirstToken(requestId, nowMs, parameters.observationHalfLifeMs()));
    }

    /**
     * Records the end of a request, whether it succeeded or failed.
     *
     * @param name the upstream
     * @param requestId the id of the request at the upstream
     * @param outputTokens the number of output tokens; 0 if the request failed
     * @param nowMs the current time
     * @return the new state
     */
    public RoutingState withFinished(UpstreamName name, String requestId, long outputTokens, long nowMs) {
        return update(
                name, state -> state.withFinished(requestId, outputTokens, nowMs, parameters.observationHalfLifeMs()));
    }

    /**
     * Records a silent failure.
     *
     * @param name the upstream
     * @param nowMs the current time
     * @return the new state
     */
    public RoutingState withSilentFailure(UpstreamName name, long nowMs) {
        return update(name, state -> state.withSilentFailure(nowMs));
    }

    /**
     * Applies a page of cache events.
     *
     * @param name the upstream
     * @param events the events in ascending order
     * @param next the sequence number after the last event of the page
     * @param gap whether the engine reports lost events
     * @param nowMs the current time
     * @return the new state
     */
    public RoutingState withCacheEvents(
            UpstreamName name, List<CacheEvent> events, long next, boolean gap, long nowMs) {
        return update(name, state -> state.withPrefixes(state.prefixes().withEvents(events, next, gap, nowMs)));
    }

    /**
     * Replaces all leaving marks of one source.
     *
     * @param source the source; {@link #withReport} and {@link #withFleet} set the marks of reports and of the fleet
     *     text
     * @param leaving the upstreams that are leaving according to the source
     * @return the new state
     */
    public RoutingState withLeaving(LeavingSource source, Set<UpstreamName> leaving) {
        Map<UpstreamName, UpstreamState> changed = new HashMap<>();
        upstreams.forEach((name, state) -> {
            UpstreamState marked = state.withLeaving(source, leaving.contains(name));
            if (marked != state) {
                changed.put(name, marked);
            }
        });
        if (changed.isEmpty()) {
            return this;
        }
        upstreams.forEach(changed::putIfAbsent);
        return new RoutingState(fleet, parameters, changed, sentCount);
    }

    /**
     * Returns the upstreams to report to peers as leaving. Marks that came from peers are left out, because two routers
     * would otherwise keep a mark alive by reporting it back to each other.
     *
     * @return the names of the upstreams
     */
    public Set<UpstreamName> leavingForPeers() {
        return upstreams.entrySet().stream()
                .filter(entry -> entry.getValue().leavingMarks().stream().anyMatch(mark -> mark != LeavingSource.PEER))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the state of an upstream.
     *
     * @param name the upstream
     * @return the state, or {@link UpstreamState#empty()} if the upstream is not in the fleet
     */
    public UpstreamState upstream(UpstreamName name) {
        return upstreams.getOrDefault(name, UpstreamState.empty());
    }

    private RoutingState update(UpstreamName name, UnaryOperator<UpstreamState> change) {
        UpstreamState state = upstreams.get(name);
        if (state == null) {
            return this;
        }
        UpstreamTable changed = UpstreamTable.copyOf(upstreams).with(name, change.apply(state));
        return new RoutingState(fleet, parameters, changed, sentCount);
    }
}
