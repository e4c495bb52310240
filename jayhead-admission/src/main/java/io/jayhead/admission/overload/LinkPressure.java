package io.jayhead.admission.overload;

/**
 * Tracks the utilisation of a VM's network link and decides whether its router sheds connections; immutable.
 *
 * <p>A few callers may send most of the requests of an availability zone. If all their connections end at one router,
 * its link is saturated while the links of the other routers are nearly idle. A router under pressure therefore accepts
 * no new connections, and closes open ones with their next response until the utilisation drops; the callers reconnect
 * to other routers.
 *
 * @param share the moving average of the link utilisation, as a fraction of the link rate
 * @param high whether the router is under pressure: from an average above the high threshold until one below the low
 *     threshold, but for at least 3 s
 * @param sinceMs the time at which {@code high} last changed
 */
public record LinkPressure(double share, boolean high, long sinceMs) {

    /** Above this utilisation, each burst makes the queues at the link grow. */
    private static final double HIGH_SHARE = 0.5;
    /** Below this utilisation, the router accepts new connections again. */
    private static final double LOW_SHARE = 0.3;
    /** The minimum time under pressure, because load balancers notice a change of readiness only after two checks. */
    private static final long MIN_HIGH_MS = 3_000;
    /** The weight of the newest measurement in the moving average. */
    private static final double NEWEST_MEASUREMENT_WEIGHT = 0.4;

    /**
     * Returns the state of a link without traffic.
     *
     * @return the state
     */
    public static LinkPressure none() {
        return new LinkPressure(0, false, 0);
    }

    /**
     * Adds a measurement.
     *
     * @param measuredShare the link utilisation since the last measurement, as a fraction of the link rate
     * @param nowMs the time of a monotonic clock, in milliseconds
     * @return the new state
     */
    public LinkPressure measured(double measuredShare, long nowMs) {
        double averageShare = share + NEWEST_MEASUREMENT_WEIGHT * (measuredShare - share);
        if (!high && averageShare > HIGH_SHARE) {
            return new LinkPressure(averageShare, true, nowMs);
        }
        if (high && averageShare < LOW_SHARE && nowMs - sinceMs >= MIN_HIGH_MS) {
            return new LinkPressure(averageShare, false, nowMs);
        }
        return new LinkPressure(averageShare, high, sinceMs);
    }

    /**
     * Tells whether the router accepts new connections.
     *
     * @return false under pressure
     */
    public boolean takesConnections() {
        return !high;
    }

    /**
     * Tells whether the router closes a connection with its next response.
     *
     * @return true while the utilisation is still above the high threshold
     */
    public boolean closesConnections() {
        return high && share > HIGH_SHARE;
    }
}
