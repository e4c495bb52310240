package io.jayhead.admission.overload;

import java.util.HashMap;
import java.util.Map;

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
 * <p>Answers are judged by route, each against its own objective, so that the fast answers of one route do not hide
 * the late ones of another.
 *
 * @param requests the requests that may be in flight; infinite without a limit
 * @param lateness the recent lateness by route
 * @param decreasedAtMs the time of the last decrease
 */
public record AdaptiveLimit(double requests, Map<String, Lateness> lateness, long decreasedAtMs) {

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
    /** The lateness of a route says nothing about the present this long after its last answer. */
    private static final long LATENESS_MAX_AGE_MS = 2_000;

    /** Makes a defensive copy of the lateness. */
    public AdaptiveLimit {
        lateness = Map.copyOf(lateness);
    }

    /**
     * Returns a limit that admits all requests until answers are late.
     *
     * @return the limit
     */
    public static AdaptiveLimit none() {
        return new AdaptiveLimit(Double.POSITIVE_INFINITY, Map.of(), 0);
    }

    /**
     * Tells whether another request may be sent. The fraction of the limit is the probability that one request more is
     * admitted, so that limits of a few requests can be learned as finely as large ones.
     *
     * @param inFlight the requests in flight, and the places that are reserved
     * @param draw a random number from 0, inclusive, to 1, exclusive
     * @return true below the limit
     */
    public boolean admits(double inFlight, double draw) {
        return inFlight + draw < requests;
    }

    /**
     * Tells whether answers have been late.
     *
     * @return false if there is no limit
     */
    public boolean isLimited() {
        return requests < Double.POSITIVE_INFINITY;
    }

    /**
     * Records an answer, the first event of a stream, or a request that was given up without either.
     *
     * @param answer the answer; one without an objective changes nothing
     * @param usage the requests in flight
     * @param nowMs the current time
     * @return the new limit
     */
    public AdaptiveLimit answered(TimedAnswer answer, LimitUsage usage, long nowMs) {
        if (answer.objectiveMs() <= 0) {
            return this;
        }
        double maxLateness = answer.answered() ? MAX_LATENESS : HIGH_LATENESS;
        double newest = Math.min(maxLateness, answer.answerMs() / answer.objectiveMs());
        double average = average(answer.route(), newest);
        Map<String, Lateness> nextLateness = new HashMap<>(lateness);
        nextLateness.put(answer.route(), new Lateness(average, nowMs));
        // The answers to requests that were sent before the last decrease do not show its effect.
        boolean sentAfterDecrease = nowMs - answer.answerMs() >= decreasedAtMs;
        if (average > HIGH_LATENESS && newest > HIGH_LATENESS && sentAfterDecrease) {
            double factor = Math.max(MIN_DECREASE_FACTOR, TARGET_LATENESS / average);
            return new AdaptiveLimit(decreased(factor, usage), nextLateness, nowMs);
        }
        boolean inUse = usage.inFlight() + usage.reserved() >= requests * USED_SHARE;
        if (average < LOW_LATENESS && inUse && !isAnyLate(nextLateness, nowMs)) {
            double increase = Math.min(INCREASE_PER_ROUND / requests, MAX_INCREASE_SHARE * requests);
            return new AdaptiveLimit(requests + increase, nextLateness, decreasedAtMs);
        }
        return new AdaptiveLimit(requests, nextLateness, decreasedAtMs);
    }

    private double average(String route, double newest) {
        double previous = lateness.getOrDefault(route, Lateness.NONE).average();
        return previous + NEWEST_WEIGHT * (newest - previous);
    }

    /** Returns the lowered limit; what requests more urgent than the late one use is not lowered. */
    private double decreased(double factor, LimitUsage usage) {
        double used = Math.min(requests, usage.inFlight());
        double kept = Math.min(used, usage.spared());
        return Math.max(MIN_REQUESTS, kept + factor * (used - kept));
    }

    private static boolean isAnyLate(Map<String, Lateness> lateness, long nowMs) {
        return lateness.values().stream()
                .anyMatch(route -> route.average() > HIGH_LATENESS && nowMs - route.atMs() < LATENESS_MAX_AGE_MS);
    }
}
