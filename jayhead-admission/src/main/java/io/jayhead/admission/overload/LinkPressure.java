package io.jayhead.admission.overload;

/**
 * How busy the network link of a VM is, and whether the router sends callers away for it; an immutable value.
 *
 * <p>Answers the load of few callers that send most of the requests of an availability zone: their connections all end
 * at one router, whose link is full while those of the others are nearly idle. A router under pressure takes no new
 * connections and closes open ones with their next answer until its link has room; the callers connect elsewhere.
 *
 * @param share the used part of the link, averaged over the last measurements
 * @param high whether the link was too busy and has not been calm since
 * @param sinceMs when {@code high} last changed
 */
public record LinkPressure(double share, boolean high, long sinceMs) {

    /** Above this share, queues at the link grow with each burst. */
    private static final double HIGH_SHARE = 0.5;
    /** Below this share, the router takes new connections again. */
    private static final double CALM_SHARE = 0.3;
    /** Balancers notice a change of readiness after two checks. */
    private static final long MIN_HIGH_MS = 3_000;
    /** The weight of the newest measurement in the average. */
    private static final double WEIGHT = 0.4;

    /**
     * Returns the state of a link without traffic.
     *
     * @return the state
     */
    public static LinkPressure none() {
        return new LinkPressure(0, false, 0);
    }

    /**
     * Takes a measurement into account.
     *
     * @param measuredShare the used part of the link since the measurement before
     * @param nowMs the time of a clock that never goes back, in milliseconds
     * @return the new state
     */
    public LinkPressure measured(double measuredShare, long nowMs) {
        double next = share + WEIGHT * (measuredShare - share);
        if (!high && next > HIGH_SHARE) {
            return new LinkPressure(next, true, nowMs);
        }
        if (high && next < CALM_SHARE && nowMs - sinceMs >= MIN_HIGH_MS) {
            return new LinkPressure(next, false, nowMs);
        }
        return new LinkPressure(next, high, sinceMs);
    }

    /**
     * Tells whether the router takes new connections.
     *
     * @return false under pressure
     */
    public boolean takesConnections() {
        return !high;
    }

    /**
     * Tells whether the next answer closes its connection.
     *
     * @return true while the link is still too busy
     */
    public boolean closesConnections() {
        return high && share > HIGH_SHARE;
    }
}
