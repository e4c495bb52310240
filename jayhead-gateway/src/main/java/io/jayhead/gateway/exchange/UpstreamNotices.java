package io.jayhead.gateway.exchange;

import io.jayhead.gateway.wire.UpstreamNotice;
import io.jayhead.routing.registry.Upstream;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which upstreams have said that they leave, or want no requests for a while; used by the traffic thread.
 *
 * <p>What an incarnation has said itself holds whatever the registry says later, so that an older copy of the registry
 * brings no requests to an upstream that leaves.
 */
final class UpstreamNotices {

    /** More incarnations than a deployment has at a time; the one heard of first is forgotten. */
    private static final int MAX_INCARNATIONS = 4_096;

    private static final long NS_PER_MS = 1_000_000;
    /** Longer pauses last as long as the incarnation. */
    private static final long MAX_PAUSE_MS = Long.MAX_VALUE / (4 * NS_PER_MS);

    private final Map<String, Heard> byIncarnation = new LinkedHashMap<>() {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Heard> eldest) {
            return size() > MAX_INCARNATIONS;
        }
    };

    /**
     * Records what an upstream has said.
     *
     * @param upstream the upstream
     * @param notice what it has said
     * @return true if it had not said before that it leaves, and does so now
     */
    boolean heard(Upstream upstream, UpstreamNotice notice) {
        if (notice.equals(UpstreamNotice.NONE)) {
            return false;
        }
        long nowNs = System.nanoTime();
        Heard before = byIncarnation.getOrDefault(upstream.incarnation(), new Heard(false, nowNs));
        long untilNs = nowNs + Math.min(MAX_PAUSE_MS, notice.pauseMs()) * NS_PER_MS;
        long laterNs = untilNs - before.pausedUntilNs() > 0 ? untilNs : before.pausedUntilNs();
        byIncarnation.put(upstream.incarnation(), new Heard(before.leaving() || notice.leaving(), laterNs));
        return notice.leaving() && !before.leaving();
    }

    boolean isLeaving(Upstream upstream) {
        Heard heard = byIncarnation.get(upstream.incarnation());
        return heard != null && heard.leaving();
    }

    /** Returns for how many milliseconds an upstream wants no requests; 0 if it takes them. */
    long pauseLeftMs(Upstream upstream) {
        Heard heard = byIncarnation.get(upstream.incarnation());
        if (heard == null) {
            return 0;
        }
        long leftNs = heard.pausedUntilNs() - System.nanoTime();
        return leftNs <= 0 ? 0 : leftNs / NS_PER_MS + 1;
    }

    private record Heard(boolean leaving, long pausedUntilNs) {}
}
