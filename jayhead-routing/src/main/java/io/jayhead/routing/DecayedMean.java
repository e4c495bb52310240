package io.jayhead.routing;

/**
 * Holds an exponentially weighted moving mean whose weight decays between observations.
 *
 * @param mean the mean; undefined while the weight is 0
 * @param weight the weight at the last observation, from 0 (no observations) to 1
 * @param observedMs when the last observation was made
 */
public record DecayedMean(double mean, double weight, long observedMs) {

    /** The weight of a new observation. */
    private static final double NEW_SHARE = 0.2;

    /**
     * Returns a mean without observations.
     *
     * @return the empty mean
     */
    public static DecayedMean empty() {
        return new DecayedMean(0, 0, 0);
    }

    /**
     * Adds an observation.
     *
     * @param value the observed value
     * @param nowMs the time of the observation
     * @param halfLifeMs the time in which the weight of older observations halves
     * @return the new mean
     */
    public DecayedMean with(double value, long nowMs, long halfLifeMs) {
        double oldWeight = weightAt(nowMs, halfLifeMs) * (1 - NEW_SHARE);
        double newWeight = oldWeight + NEW_SHARE;
        return new DecayedMean((mean * oldWeight + value * NEW_SHARE) / newWeight, newWeight, nowMs);
    }

    /**
     * Returns the decayed weight at a given time.
     *
     * @param nowMs the current time
     * @param halfLifeMs the time in which the weight halves
     * @return a number from 0 to 1
     */
    public double weightAt(long nowMs, long halfLifeMs) {
        return weight * Math.pow(0.5, Math.max(0, nowMs - observedMs) / (double) halfLifeMs);
    }

    /**
     * Blends a prior value with the mean; the share of the mean is proportional to its decayed weight.
     *
     * @param prior the value to return without observations
     * @param maxShare the share of the mean at weight 1, from 0 to 1
     * @param nowMs the current time
     * @param halfLifeMs the time in which the weight halves
     * @return the blended value
     */
    public double blend(double prior, double maxShare, long nowMs, long halfLifeMs) {
        double share = maxShare * weightAt(nowMs, halfLifeMs);
        return prior * (1 - share) + mean * share;
    }
}
