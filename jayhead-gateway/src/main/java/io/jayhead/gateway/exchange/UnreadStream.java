package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.SilenceLimit;
import io.jayhead.routing.catalog.Route;

/**
 * Follows for how long the caller of a stream has not read it; used by the traffic thread.
 *
 * <p>The load pattern: callers that read slowly or not at all keep places at upstreams, which other requests need, and
 * upstreams cut such streams off. A stream that may be resumed is therefore suspended: it gives its place up, and goes
 * on after its last event once the caller reads again.
 */
final class UnreadStream {

    private static final long NS_PER_MS = 1_000_000;

    private boolean held;
    private boolean suspended;
    private long heldSinceNs;
    private long longestHeldMs;

    /** Notes that the upstream is not read any further until the caller has read. */
    void hold() {
        if (!held) {
            held = true;
            heldSinceNs = System.nanoTime();
        }
    }

    /** Notes that the caller has read. */
    void release() {
        longestHeldMs = longestHeldMs();
        held = false;
        suspended = false;
    }

    /** Begins to follow the stream of another attempt. */
    void restart() {
        release();
        longestHeldMs = 0;
    }

    /** Tells whether the caller has not read for so long that the place at the upstream should be given up. */
    boolean isDue(Route route) {
        long limitMs = SilenceLimit.unreadMs(route.latencyObjectiveMs(), route.eventGapObjectiveMs());
        return held && !suspended && heldMs() >= limitMs;
    }

    /** Notes that the stream has given up its place. */
    void suspend() {
        hold();
        suspended = true;
    }

    boolean isHeld() {
        return held;
    }

    boolean isSuspended() {
        return suspended;
    }

    /** Returns for how long the upstream of the current attempt has not been read, at the longest. */
    long longestHeldMs() {
        return Math.max(longestHeldMs, heldMs());
    }

    long heldMs() {
        return held ? (System.nanoTime() - heldSinceNs) / NS_PER_MS : 0;
    }
}
