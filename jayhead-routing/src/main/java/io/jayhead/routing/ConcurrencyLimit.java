package io.jayhead.routing;

import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.model.fleet.UpstreamType;
import java.util.List;

/**
 * Derives how many requests a router may run at a time from the reports of the engines.
 *
 * <p>While the engines have room, only the given maximum limits. Once requests wait at the engines, each router keeps
 * to its share of their places, so that the excess waits in the routers' queues, which are ordered by priority and fair
 * between organisations, and not in the engines'.
 */
public final class ConcurrencyLimit {

    /** Requests may wait at the engines for a tenth of their places, which keeps the batches full. */
    private static final double QUEUED_SHARE = 0.1;

    /** A router runs a few requests even if its share is smaller; bookings and status reads need no engine. */
    private static final int MINIMUM = 8;

    private ConcurrencyLimit() {}

    /**
     * Returns the limit.
     *
     * @param state the routing state
     * @param routers the number of live routers, at least 1
     * @param maximum the limit while the engines have room
     * @param nowMs the time
     * @return the limit, at most the maximum
     */
    public static int of(RoutingState state, int routers, int maximum, long nowMs) {
        List<LoadReport> reports = state.fleet().upstreams().values().stream()
                .filter(upstream -> upstream.type() == UpstreamType.MODEL_ENGINE)
                .map(UpstreamSpec::name)
                .map(state::upstream)
                .filter(upstream -> upstream.ageMs(nowMs) <= state.parameters().freshnessLimitMs())
                .flatMap(upstream -> upstream.report().stream())
                .toList();
        int places = reports.stream().mapToInt(LoadReport::maxBatch).sum();
        int queued = reports.stream().mapToInt(LoadReport::queued).sum();
        if (places == 0 || queued <= places * QUEUED_SHARE) {
            return maximum;
        }
        int share = (int) Math.ceil(places * (1 + QUEUED_SHARE) / Math.max(1, routers));
        return Math.min(maximum, Math.max(MINIMUM, share));
    }
}
