package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.SilenceLimit;
import io.jayhead.routing.DecayedMean;
import io.jayhead.routing.catalog.Route;
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
     * Returns for how long an attempt may make no progress.
     *
     * @param route the route of the request
     * @param events the events of the answer so far; 0 before the first and for calls that are no stream
     * @return the limit in milliseconds
     */
    public long silenceLimitMs(Route route, int events) {
        double recentMs = mean(route.name()).blend(0, 1, nowMs(), HALF_LIFE_MS);
        if (!route.kind().isStreaming()) {
            return SilenceLimit.callMs(route.latencyObjectiveMs(), recentMs);
        }
        return events > 0
                ? SilenceLimit.eventGapMs(route.eventGapObjectiveMs())
                : SilenceLimit.firstEventMs(route.latencyObjectiveMs(), recentMs);
    }

    private DecayedMean mean(String route) {
        return byRoute.getOrDefault(route, DecayedMean.empty());
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
