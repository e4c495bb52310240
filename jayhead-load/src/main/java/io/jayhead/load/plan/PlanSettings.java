package io.jayhead.load.plan;

/**
 * Holds what a plan is derived from.
 *
 * @param mix the request mix
 * @param ratePerSecond the mean number of first sends per second
 * @param durationS the time during which requests arrive
 * @param seed the seed
 * @param routers the number of routers
 * @param retryShare the share of requests that are sent again with the same key, from 0 to 1
 */
public record PlanSettings(Mix mix, double ratePerSecond, int durationS, long seed, int routers, double retryShare) {

    /** Checks the numbers. */
    public PlanSettings {
        if (!(ratePerSecond > 0) || durationS < 1 || routers < 1) {
            throw new IllegalArgumentException("rate, duration and number of routers must be above 0");
        }
        if (!(retryShare >= 0 && retryShare <= 1)) {
            throw new IllegalArgumentException("retry share must be from 0 to 1: " + retryShare);
        }
    }
}
