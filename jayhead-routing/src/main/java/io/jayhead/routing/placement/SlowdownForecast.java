package io.jayhead.routing.placement;

import io.jayhead.routing.DecayedMean;

/**
 * Forecasts how much longer than usual work takes on the machine of an upstream; immutable.
 *
 * <p>The load pattern: machines that upstreams share with others are slowed down by turns, for a fraction of a second.
 * The last report counts for work that starts at once. Its weight halves within the time in which the slowdown changes;
 * what remains is the mean over several seconds.
 *
 * @param mean the mean of the reported slowdowns
 * @param last the last reported slowdown
 * @param reportedMs the time of the last report in milliseconds
 */
public record SlowdownForecast(DecayedMean mean, double last, long reportedMs) {

    /** The time after which the difference of a reported slowdown from the mean has halved. */
    private static final double CHANGE_HALF_LIFE_MS = 100;

    private static final long MEAN_HALF_LIFE_MS = 3_000;
    private static final double USUAL = 1;

    /**
     * Returns the forecast for an upstream without reports.
     *
     * @return a forecast of the usual speed
     */
    public static SlowdownForecast usual() {
        return new SlowdownForecast(DecayedMean.empty(), USUAL, 0);
    }

    /**
     * Adds a report.
     *
     * @param slowdown the time that work takes, divided by the usual time
     * @param nowMs the current time
     * @return the new forecast
     */
    public SlowdownForecast with(double slowdown, long nowMs) {
        return new SlowdownForecast(mean.with(slowdown, nowMs, MEAN_HALF_LIFE_MS), slowdown, nowMs);
    }

    /**
     * Returns the expected slowdown of work that starts at a time.
     *
     * @param nowMs the time
     * @return the time that work takes, divided by the usual time
     */
    public double at(long nowMs) {
        double lasting = mean.blend(USUAL, 1, nowMs, MEAN_HALF_LIFE_MS);
        double decay = Math.pow(0.5, Math.max(0, nowMs - reportedMs) / CHANGE_HALF_LIFE_MS);
        return lasting + (last - lasting) * decay;
    }
}
