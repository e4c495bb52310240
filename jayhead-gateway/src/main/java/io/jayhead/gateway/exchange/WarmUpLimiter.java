package io.jayhead.gateway.exchange;

import io.jayhead.gateway.control.RouterAddress;
import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.jayhead.routing.catalog.ServiceProfile;
import io.jayhead.routing.registry.FailedConnects;
import io.jayhead.routing.registry.RecentSends;
import io.jayhead.routing.registry.Upstream;
import io.jayhead.routing.registry.WarmUpShare;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Limits what this router sends to upstreams that warm up to its share; used by the traffic thread. */
final class WarmUpLimiter {

    private final String vmName;
    private final Supplier<RoutingSnapshot> snapshot;
    private final GatewayMetrics metrics;
    private final Map<String, RecentSends> sendsByIncarnation = new HashMap<>();
    private FailedConnects failedConnects = FailedConnects.none();

    /**
     * Creates a limiter.
     *
     * @param vmName the VM name of this router
     * @param snapshot returns the newest routing snapshot
     * @param metrics counts the requests to upstreams that warm up
     */
    WarmUpLimiter(String vmName, Supplier<RoutingSnapshot> snapshot, GatewayMetrics metrics) {
        this.vmName = vmName;
        this.snapshot = snapshot;
        this.metrics = metrics;
    }

    /** Tells whether a request may be sent to an upstream now; true for upstreams that do not warm up. */
    boolean allows(Upstream upstream) {
        long nowMs = nowMs();
        return !isWarmingUp(upstream, nowMs) || sends(upstream).allows(share(upstream), nowMs);
    }

    /** Counts a request that is about to be sent, unless it exceeds the share; returns whether it may be sent. */
    boolean trySend(Upstream upstream) {
        long nowMs = nowMs();
        if (!isWarmingUp(upstream, nowMs)) {
            sendsByIncarnation.remove(upstream.incarnation());
            return true;
        }
        WarmUpShare share = share(upstream);
        RecentSends sends = sends(upstream);
        if (!sends.allows(share, nowMs)) {
            return false;
        }
        sendsByIncarnation.keySet().retainAll(snapshot.get().registry().readyIncarnations());
        sendsByIncarnation.put(upstream.incarnation(), sends.with(share, nowMs));
        metrics.warmUpRequest();
        return true;
    }

    /** Records an upstream that accepted no connection. */
    void unreachable(Upstream upstream) {
        if (service(upstream).limitsWarmUp()) {
            failedConnects = failedConnects.with(upstream.incarnation(), nowMs());
        }
    }

    private boolean isWarmingUp(Upstream upstream, long nowMs) {
        RoutingSnapshot current = snapshot.get();
        ServiceProfile service = service(upstream);
        if (!service.limitsWarmUp()) {
            return false;
        }
        return current.warmUps().isWarmingUp(upstream, service, current.evacuations(), nowMs)
                || failedConnects.mayBeStarting(upstream.incarnation(), service.warmUpMs(), nowMs);
    }

    private RecentSends sends(Upstream upstream) {
        return sendsByIncarnation.getOrDefault(upstream.incarnation(), RecentSends.none());
    }

    private WarmUpShare share(Upstream upstream) {
        List<String> routers =
                snapshot.get().routers().stream().map(RouterAddress::vmName).toList();
        double requestsPerS = service(upstream).warmUpRequestsPerS();
        return WarmUpShare.of(upstream.incarnation(), vmName, routers, requestsPerS);
    }

    private ServiceProfile service(Upstream upstream) {
        return snapshot.get().catalog().service(upstream.service());
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
