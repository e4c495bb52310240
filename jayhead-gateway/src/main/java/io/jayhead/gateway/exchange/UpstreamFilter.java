package io.jayhead.gateway.exchange;

import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.jayhead.gateway.wire.UpstreamNotice;
import io.jayhead.model.Either;
import io.jayhead.routing.catalog.AllowedRegions;
import io.jayhead.routing.placement.PlacementCandidate;
import io.jayhead.routing.registry.Upstream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Excludes upstreams to which a request must not be sent, however idle they are; used by the traffic thread. */
public final class UpstreamFilter {

    private static final String REGION = "region";
    private static final String EVACUATED = "evacuated";
    private static final String WARMING_UP = "warming up";
    private static final String LEAVING = "leaving";
    private static final String PAUSED = "paused";

    private final Map<String, String> regionByZone;
    private final Supplier<RoutingSnapshot> snapshot;
    private final GatewayMetrics metrics;
    private final WarmUpLimiter warmUps;
    private final UpstreamNotices notices = new UpstreamNotices();

    /**
     * Creates a filter.
     *
     * @param vmName the VM name of this router
     * @param regionByZone the regions of the availability zones
     * @param snapshot returns the newest routing snapshot
     * @param metrics counts the excluded upstreams
     */
    public UpstreamFilter(
            String vmName,
            Map<String, String> regionByZone,
            Supplier<RoutingSnapshot> snapshot,
            GatewayMetrics metrics) {
        this.regionByZone = Map.copyOf(regionByZone);
        this.snapshot = snapshot;
        this.metrics = metrics;
        this.warmUps = new WarmUpLimiter(vmName, snapshot, metrics);
    }

    /**
     * Returns the candidates to which a request may be sent now.
     *
     * @param candidates the ready upstreams of its service
     * @param regions the regions in which it may be processed
     * @return those that are not excluded, or why there are none
     */
    Either<Refusal, List<PlacementCandidate>> apply(List<PlacementCandidate> candidates, AllowedRegions regions) {
        List<PlacementCandidate> allowed = exclude(candidates, REGION, upstream -> !regions.allow(region(upstream)));
        if (allowed.isEmpty()) {
            return Either.left(candidates.isEmpty() ? Refusal.NO_UPSTREAM : Refusal.NO_ALLOWED_REGION);
        }
        List<PlacementCandidate> staying =
                exclude(exclude(allowed, EVACUATED, this::isEvacuated), LEAVING, notices::isLeaving);
        if (staying.isEmpty()) {
            return Either.left(Refusal.NO_UPSTREAM);
        }
        List<PlacementCandidate> usable = exclude(staying, PAUSED, this::isPaused);
        if (usable.isEmpty()) {
            return Either.left(Refusal.UPSTREAMS_PAUSED);
        }
        List<PlacementCandidate> withRoom = exclude(usable, WARMING_UP, upstream -> !warmUps.allows(upstream));
        return withRoom.isEmpty() ? Either.left(Refusal.WARMING_UP) : Either.right(withRoom);
    }

    /**
     * Tells whether a request may be sent to an upstream that was chosen before a connection was available, and counts
     * it if the upstream warms up.
     *
     * @param upstream the upstream
     * @return true if it still takes requests
     */
    boolean maySend(Upstream upstream) {
        return snapshot.get().registry().isReady(upstream)
                && !isEvacuated(upstream)
                && !notices.isLeaving(upstream)
                && !isPaused(upstream)
                && warmUps.trySend(upstream);
    }

    /**
     * Records what an upstream has said with an answer about the requests that it takes.
     *
     * @param upstream the upstream
     * @param notice what it has said
     */
    void heard(Upstream upstream, UpstreamNotice notice) {
        if (notices.heard(upstream, notice)) {
            metrics.upstreamLeft();
        }
    }

    /**
     * Returns when the first paused upstream of a service takes requests again.
     *
     * @param service the name of the service
     * @return the time in milliseconds from now; 0 if no upstream is paused
     */
    long firstReturnMs(String service) {
        return snapshot.get().registry().ready(service).stream()
                .filter(upstream -> !notices.isLeaving(upstream))
                .mapToLong(notices::pauseLeftMs)
                .filter(leftMs -> leftMs > 0)
                .min()
                .orElse(0);
    }

    private boolean isPaused(Upstream upstream) {
        return notices.pauseLeftMs(upstream) > 0;
    }

    /**
     * Records an upstream that accepted no connection and may therefore be starting.
     *
     * @param upstream the upstream
     */
    void unreachable(Upstream upstream) {
        warmUps.unreachable(upstream);
    }

    private Optional<String> region(Upstream upstream) {
        return Optional.ofNullable(regionByZone.get(upstream.availabilityZone()));
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
