package io.jayhead.routing;

import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.model.fleet.UpstreamType;
import java.util.List;

/**
 * Computes how many requests a router may run concurrently from the load reports of the engines.
 *
 * <p>While the engines have free slots, only the given maximum applies. Once requests wait at the engines, each router
 * keeps to its share of the batch slots. Further requests then wait in the queues of the routers, which are ordered by
 * priority and fair between organisations, and not in the queues of the engines.
 */
public final class ConcurrencyLimit {

    /** Share of the batch slots for which requests may wait at the engines; a short queue keeps the batches full. */
    private static final double QUEUED_SHARE = 0.1;

    /** The lower bound of the limit, because bookings and status reads need no engine slot. */
    private static final int MINIMUM = 8;

    private ConcurrencyLimit() {}

    /**
     * Computes the limit of this router.
     *
     * @param state the routing state
     * @param routers the number of live routers, at least 1
     * @param maximum the limit while the engines have free slots
     * @param nowMs the current time
     * @return the number of concurrent requests, at most the maximum; stale reports are ignored
     */
    public static int of(RoutingState state, int routers, int maximum, long nowMs) {
        List<LoadReport> reports = state.fleet().upstreams().values().stream()
                .filter(upstream -> upstream.type() == UpstreamType.MODEL_ENGINE)
                .map(UpstreamSpec::name)
                .map(state::upstream)
                .filter(upstream -> upstream.ageMs(nowMs) <= state.parameters().freshnessLimitMs())
                .flatMap(upstream -> upstream.report().stream())
                .toList();
        int slots = reports.stream().mapToInt(LoadReport::maxBatch).sum();
        int queued = reports.stream().mapToInt(LoadReport::queued).sum();
        if (slots == 0 || queued <= slots * QUEUED_SHARE) {
            return maximum;
        }
        int share = (int) Math.ceil(slots * (1 + QUEUED_SHARE) / Math.max(1, routers));
        return Math.min(maximum, Math.max(MINIMUM, share));
    }
}
