package io.jayhead.routing.registry;

import java.util.HashMap;
import java.util.Map;

/**
 * The upstreams that recently did not accept a connection of this router; immutable.
 *
 * <p>Answers the load on upstreams that restart under the same name before the platform has reported it, for example
 * while the platform is unreachable: an upstream that accepts no connection may be starting.
 *
 * @param lastAtMs the time in milliseconds at which the last connection was not accepted, by incarnation
 */
public record FailedConnects(Map<String, Long> lastAtMs) {

    /** After the last attempt an upstream may stay down for up to one warm-up time, and then warms up for another. */
    private static final int WARM_UP_PERIODS = 2;
    /** Entries that are older than this count no more, whatever the warm-up of a service is. */
    private static final long REMEMBERED_MS = 60_000;

    private static final FailedConnects NONE = new FailedConnects(Map.of());

    /** Makes an immutable copy. */
    public FailedConnects {
        lastAtMs = Map.copyOf(lastAtMs);
    }

    /**
     * Returns an instance without upstreams.
     *
     * @return the empty instance
     */
    public static FailedConnects none() {
        return NONE;
    }

    /**
     * Adds a connection that was not accepted.
     *
     * @param incarnation the incarnation of the upstream as far as this router knows
     * @param nowMs the current time
     * @return the new instance
     */
    public FailedConnects with(String incarnation, long nowMs) {
        Map<String, Long> next = new HashMap<>(lastAtMs);
        next.values().removeIf(failedMs -> nowMs - failedMs > REMEMBERED_MS);
        next.put(incarnation, nowMs);
        return new FailedConnects(next);
    }

    /**
     * Tells whether an upstream may be starting.
     *
     * @param incarnation the incarnation of the upstream
     * @param warmUpMs the time in milliseconds for which the upstreams of its service warm up
     * @param nowMs the current time
     * @return true if a connection failed so recently that it may not have warmed up since
     */
    public boolean mayBeStarting(String incarnation, long warmUpMs, long nowMs) {
        Long failedMs = lastAtMs.get(incarnation);
        return failedMs != null && nowMs - failedMs < WARM_UP_PERIODS * warmUpMs;
    }
}
