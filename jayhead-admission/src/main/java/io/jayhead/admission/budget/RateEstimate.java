package io.jayhead.admission.budget;

/**
 * Estimates a token rate as an exponentially decaying average.
 *
 * @param tokensPerSecond the rate at the time of the last observation
 * @param updatedAtMs the time of the last observation
 */
public record RateEstimate(double tokensPerSecond, long updatedAtMs) {

    /** Follows load changes within seconds, but smooths out single requests. */
    public static final long TIME_CONSTANT_MS = 10_000;

    private static final double MS_PER_SECOND = 1_000;

    /**
     * Returns an estimate of zero.
     *
     * @param nowMs the time
     * @return the estimate
     */
    public static RateEstimate zero(long nowMs) {
        return new RateEstimate(0, nowMs);
    }

    /**
     * Adds an observation.
     *
     * @param tokens the observed tokens
     * @param nowMs the time of the observation; an earlier time than the last one counts as the last one
     * @return the new estimate
     */
    public RateEstimate observe(long tokens, long nowMs) {
        double added = tokens * MS_PER_SECOND / TIME_CONSTANT_MS;
        return new RateEstimate(at(nowMs) + added, Math.max(nowMs, updatedAtMs));
    }

    /**
     * Returns the rate at a time, decayed since the last observation.
     *
     * @param nowMs the time
     * @return the rate in tokens per second
     */
    public double at(long nowMs) {
        long elapsedMs = Math.max(0, nowMs - updatedAtMs);
        return tokensPerSecond * Math.exp(-(double) elapsedMs / TIME_CONSTANT_MS);
    }
}
