package io.jayhead.admission.room;

import java.util.HashMap;
import java.util.Map;

/**
 * The mean answer times by route, and the mean work of the requests of a service; immutable.
 *
 * @param meanMsByRoute the mean milliseconds from sending a request to its answer or first event
 * @param meanWork the mean work of recent requests in prompt tokens; 0 before the first
 */
record RouteAnswers(Map<String, Double> meanMsByRoute, double meanWork) {

    static final RouteAnswers EMPTY = new RouteAnswers(Map.of(), 0);

    private static final double NEWEST_ANSWER_WEIGHT = 0.2;
    private static final double NEWEST_WORK_WEIGHT = 0.05;

    RouteAnswers {
        meanMsByRoute = Map.copyOf(meanMsByRoute);
    }

    RouteAnswers arrived(double work) {
        return new RouteAnswers(meanMsByRoute, mean(meanWork, work, NEWEST_WORK_WEIGHT));
    }

    RouteAnswers answered(String route, double answerMs) {
        Map<String, Double> next = new HashMap<>(meanMsByRoute);
        next.put(route, mean(meanMs(route), answerMs, NEWEST_ANSWER_WEIGHT));
        return new RouteAnswers(next, meanWork);
    }

    /** Returns the mean time to the answer in milliseconds; 0 if unknown. */
    double meanMs(String route) {
        return meanMsByRoute.getOrDefault(route, 0.0);
    }

    private static double mean(double previous, double newest, double newestWeight) {
        return previous == 0 ? newest : previous + newestWeight * (newest - previous);
    }
}
