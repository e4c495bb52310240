package io.jayhead.routing;

/**
 * Holds an exponentially weighted mean whose weight halves with every half-life without observations.
 *
 * @param mean the mean; meaningless while the weight is 0
 * @param weight the weight from 0 (nothing observed) to 1
 * @param observedMs when the last observation was made
 */
public record DecayedMean(double mean, double weight, long observedMs) {

    /** The share of a new observation in the mean. */
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
     * @param value the value observed
     * @param nowMs the time of the observation
     * @param halfLifeMs the half-life of older observations
     * @return the new mean
     */
    public DecayedMean with(double value, long nowMs, long halfLifeMs) {
        double oldWeight = weightAt(nowMs, halfLifeMs) * (1 - NEW_SHARE);
        double newWeight = oldWeight + NEW_SHARE;
        return new DecayedMean((mean * oldWeight + value * NEW_SHARE) / newWeight, newWeight, nowMs);
    }

    /**
     * Returns the weight that is left at a time.
     *
     * @param nowMs the time
     * @param halfLifeMs the half-life
     * @return a number from 0 to 1
     */
    public double weightAt(long nowMs, long halfLifeMs) {
        return weight * Math.pow(0.5, Math.max(0, nowMs - observedMs) / (double) halfLifeMs);
    }

    /**
     * Moves a prior value towards the mean as far as the weight allows.
     *
     * @param prior the value without observations
     * @param maxShare the largest share of the mean
     * @param nowMs the time
     * @param halfLifeMs the half-life
     * @return the blended value
     */
    public double blend(double prior, double maxShare, long nowMs, long halfLifeMs) {
        double share = maxShare * weightAt(nowMs, halfLifeMs);
        return prior * (1 - share) + mean * share;
    }
}
