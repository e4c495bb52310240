package io.jayhead.load.plan;

/**
 * Holds the parameters from which a request plan is drawn.
 *
 * @param mix the request mix
 * @param ratePerSecond the mean number of new requests per second, without retries
 * @param durationS the time in seconds during which new requests arrive
 * @param seed the seed of arrivals and contents
 * @param routers the number of routers
 * @param retryShare the share of requests that are sent again with the same key, from 0 to 1; status reads are never
 *     sent again
 */
public record PlanSettings(Mix mix, double ratePerSecond, int durationS, long seed, int routers, double retryShare) {

    /** Rejects values out of range. */
    public PlanSettings {
        if (!(ratePerSecond > 0) || durationS < 1 || routers < 1) {
            throw new IllegalArgumentException("rate, duration and number of routers must be above 0");
        }
        if (!(retryShare >= 0 && retryShare <= 1)) {
            throw new IllegalArgumentException("retry share must be from 0 to 1: " + retryShare);
        }
    }
}
