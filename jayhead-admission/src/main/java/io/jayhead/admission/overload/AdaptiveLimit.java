package io.jayhead.admission.overload;

/**
 * Limits the requests that a router has in flight at one service, and learns the limit from how late their answers are;
 * immutable.
 *
 * <p>It answers the load pattern in which more requests arrive than the upstreams serve in time. Without a limit, the
 * queues at the upstreams grow until every answer is late or its caller has gone, and the work done for those who have
 * gone is lost. With the limit, the requests beyond it are refused at once and the others are served in time.
 *
 * <p>The limit is increased additively and decreased multiplicatively: D. Chiu, R. Jain, "Analysis of the Increase and
 * Decrease Algorithms for Congestion Avoidance in Computer Networks", Computer Networks and ISDN Systems 17(1), 1989.
 * There is no limit until answers are late for the first time.
 *
 * @param requests the requests that may be in flight; infinite without a limit
 * @param lateness the moving average of answer times, as multiples of their objectives
 * @param decreasedAtMs the time of the last decrease
 */
public record AdaptiveLimit(double requests, double lateness, long decreasedAtMs) {

    /** Answers later than their objective on average lower the limit. */
    private static final double HIGH_LATENESS = 1.0;
    /** Answers must be faster than this on average before the limit is raised. */
    private static final double LOW_LATENESS = 0.8;
    /** Bounds the effect of a single answer, since a few upstreams may be much slower than the others. */
    private static final double MAX_LATENESS = 1.5;
    /** The weight of the newest answer in the moving average; a router of a large fleet sees few answers a second. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** The lateness to which a decrease aims; the limit is lowered the more, the later the answers are. */
    private static final double TARGET_LATENESS = 0.7;
    /** The lower bound of one decrease. */
    private static final double MIN_DECREASE_FACTOR = 0.5;
    /** The limit is raised by this number for each round of as many answers as it allows. */
    private static final double INCREASE_PER_ROUND = 1.0;
    /** Bounds the increase for one answer, so that a limit of a few requests does not double in each round. */
    private static final double MAX_INCREASE_SHARE = 0.05;
    /** The limit is only raised while at least this share of it is in use. */
    private static final double USED_SHARE = 0.75;

    /** Below 1 because in a large fleet the fair share of a router may be less than one request. */
    private static final double MIN_REQUESTS = 0.1;

    /**
     * Returns a limit that admits all requests until answers are late.
     *
     * @return the limit
     */
    public static AdaptiveLimit none() {
        return new AdaptiveLimit(Double.POSITIVE_INFINITY, 0, 0);
    }

    /**
     * Tells whether another request may be sent. The fraction of the limit is the probability that one request more is
     * admitted, so that limits of a few requests can be learned as finely as large ones.
     *
     * @param inFlight the requests in flight
     * @param draw a random number from 0, inclusive, to 1, exclusive
     * @return true below the limit
     */
    public boolean admits(int inFlight, double draw) {
        return inFlight + draw < requests;
    }

    /**
     * Records an answer, the first event of a stream, or a request that was given up without either.
     *
     * @param answerMs the time since the request was sent
     * @param objectiveMs the objective for this time; requests without one change nothing
     * @param inFlight the requests in flight, including this one
     * @param nowMs the current time
     * @return the new limit
     */
    public AdaptiveLimit answered(double answerMs, int objectiveMs, int inFlight, long nowMs) {
        if (objectiveMs <= 0) {
            return this;
        }
        double newest = Math.min(MAX_LATENESS, answerMs / objectiveMs);
        double average = lateness + NEWEST_WEIGHT * (newest - lateness);
        // The answers to requests that were sent before the last decrease do not show its effect.
        boolean sentAfterDecrease = nowMs - answerMs >= decreasedAtMs;
        if (average > HIGH_LATENESS && newest > HIGH_LATENESS && sentAfterDecrease) {
            double factor = Math.max(MIN_DECREASE_FACTOR, TARGET_LATENESS / average);
            double decreased = Math.max(MIN_REQUESTS, factor * Math.min(requests, inFlight));
            return new AdaptiveLimit(decreased, average, nowMs);
        }
        boolean inUse = inFlight >= requests * USED_SHARE;
        if (average < LOW_LATENESS && inUse) {
            double increase = Math.min(INCREASE_PER_ROUND / requests, MAX_INCREASE_SHARE * requests);
            return new AdaptiveLimit(requests + increase, average, decreasedAtMs);
        }
        return new AdaptiveLimit(requests, average, decreasedAtMs);
    }
}
