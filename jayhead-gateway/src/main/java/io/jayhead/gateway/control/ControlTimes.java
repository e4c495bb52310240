package io.jayhead.gateway.control;

import java.util.OptionalLong;

/**
 * Holds the times of the deployment that the control plane depends on.
 *
 * @param heartbeatMs the time in milliseconds between two heartbeats by which upstreams stay registered
 * @param reconnectMs the time in milliseconds within which changes must be noticed again after connections were lost
 * @param drainMs the time in milliseconds for which requests may still reach an upstream that leaves
 * @param evacuationMs the time in milliseconds within which the evacuation of an availability zone must be in force;
 *     empty if the deployment has no evacuations, which are not followed then
 */
public record ControlTimes(long heartbeatMs, long reconnectMs, long drainMs, OptionalLong evacuationMs) {

    /** Changes of upstreams are collected for at least this time, so that one answer brings several. */
    private static final long REGISTRY_MIN_PAUSE_MS = 400;

    private static final long REGISTRY_MAX_PAUSE_MS = 1_000;
    /** Each change costs one call by every router, so larger fleets collect changes for longer. */
    private static final long REGISTRY_PAUSE_PER_ROUTER_MS = 15;
    /** Leaves the rest of the time for the answer of the platform, and for requests that wait for a connection. */
    private static final long DRAIN_SHARE_DIVISOR = 3;

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a time is not positive
     */
    public ControlTimes {
        requirePositive("time between heartbeats", heartbeatMs);
        requirePositive("time to replace connections", reconnectMs);
        requirePositive("time to drain", drainMs);
        evacuationMs.ifPresent(boundMs -> requirePositive("time to evacuate", boundMs));
    }

    /**
     * Creates the times of a deployment without evacuations.
     *
     * @param heartbeatMs the time in milliseconds between two heartbeats by which upstreams stay registered
     * @param reconnectMs the time in milliseconds within which changes must be noticed again after connections were
     *     lost
     * @param drainMs the time in milliseconds for which requests may still reach an upstream that leaves
     */
    public ControlTimes(long heartbeatMs, long reconnectMs, long drainMs) {
        this(heartbeatMs, reconnectMs, drainMs, OptionalLong.empty());
    }

    /** Tells whether availability zones may be evacuated. */
    boolean followsEvacuations() {
        return evacuationMs.isPresent();
    }

    /** Returns the times of the watch of evacuations, which must be in force within their own bound too. */
    WatchTimes evacuationWatchTimes() {
        return new WatchTimes(Math.min(reconnectMs, evacuationMs.orElse(reconnectMs)));
    }

    /**
     * Returns for how long changes of upstreams are collected before the platform is asked for more.
     *
     * @param routers the number of routers of the fleet
     * @return the time in milliseconds, which leaves enough of the time to drain to take a change in force
     */
    int registryPauseMs(int routers) {
        long longestMs = Math.min(REGISTRY_MAX_PAUSE_MS, drainMs / DRAIN_SHARE_DIVISOR);
        long pauseMs = Math.max(REGISTRY_MIN_PAUSE_MS, REGISTRY_PAUSE_PER_ROUTER_MS * routers);
        return (int) Math.min(longestMs, pauseMs);
    }

    private static void requirePositive(String name, long valueMs) {
        if (valueMs <= 0) {
            throw new IllegalArgumentException("the " + name + " is not positive: " + valueMs);
        }
    }
}
