package io.jayhead.gateway.exchange;

import io.jayhead.routing.DecayedMean;
import java.util.HashMap;
import java.util.Map;

/** Keeps the mean time of recent answers, or of first events of streams, by route; used by the traffic thread. */
public final class AnswerTimes {

    private static final long HALF_LIFE_MS = 4_000;

    private final Map<String, DecayedMean> byRoute = new HashMap<>();

    /**
     * Records an answer.
     *
     * @param route the name of the route
     * @param answerMs the time in milliseconds from sending the request to its answer, or to the first event
     */
    public void record(String route, double answerMs) {
        byRoute.put(route, mean(route).with(answerMs, nowMs(), HALF_LIFE_MS));
    }

    /**
     * Returns the mean time of recent answers.
     *
     * @param route the name of the route
     * @return the time in milliseconds, which falls towards 0 while no answers arrive
     */
    public double recentMs(String route) {
        return mean(route).blend(0, 1, nowMs(), HALF_LIFE_MS);
    }

    private DecayedMean mean(String route) {
        return byRoute.getOrDefault(route, DecayedMean.empty());
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
