package io.jayhead.gateway.exchange;

import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.jayhead.routing.placement.PlacementCandidate;
import io.jayhead.routing.registry.Upstream;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Excludes upstreams to which a request must not be sent, however idle they are; used by the traffic thread. */
public final class UpstreamFilter {

    private static final String EVACUATED = "evacuated";

    private final Supplier<RoutingSnapshot> snapshot;
    private final GatewayMetrics metrics;

    /**
     * Creates a filter.
     *
     * @param snapshot returns the newest routing snapshot
     * @param metrics counts the excluded upstreams
     */
    public UpstreamFilter(Supplier<RoutingSnapshot> snapshot, GatewayMetrics metrics) {
        this.snapshot = snapshot;
        this.metrics = metrics;
    }

    /**
     * Returns the candidates to which a request may be sent now.
     *
     * @param candidates the ready upstreams of its service
     * @return those that are not excluded; empty if all are
     */
    List<PlacementCandidate> apply(List<PlacementCandidate> candidates) {
        return exclude(candidates, EVACUATED, this::isEvacuated);
    }

    /**
     * Tells whether a request may be sent to an upstream that was chosen before a connection was available.
     *
     * @param upstream the upstream
     * @return true if it still takes requests
     */
    boolean maySend(Upstream upstream) {
        return snapshot.get().registry().isReady(upstream) && !isEvacuated(upstream);
    }

    private boolean isEvacuated(Upstream upstream) {
        return !snapshot.get().evacuations().allows(upstream.availabilityZone());
    }

    private List<PlacementCandidate> exclude(
            List<PlacementCandidate> candidates, String reason, Predicate<Upstream> excluded) {
        List<PlacementCandidate> left = candidates.stream()
                .filter(candidate -> !excluded.test(candidate.upstream()))
                .toList();
        if (left.size() < candidates.size()) {
            metrics.excludedUpstreams(reason, candidates.size() - left.size());
        }
        return left;
    }
}
