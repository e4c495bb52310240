package io.jayhead.routing.placement;

/**
 * Estimates the time to the first event of a generation as the sum of a base time, the time to read the prompt and the
 * delay by the other requests at the engine; immutable.
 *
 * <p>The three rates are fitted to the measured times by weighted least squares. The prior counts as a constant number
 * of observations, while the weight of measured times halves with every half-life. A measured time far from the
 * expected one, such as that of a request that waited in the queue of its engine, counts less.
 *
 * @param baseMs the time in milliseconds without prompt tokens and other requests
 * @param msPerThousandTokens the time in milliseconds to read a thousand prompt tokens
 * @param msPerRequest the delay in milliseconds by each request at the engine
 * @param sums the weighted sums over the observations
 * @param observedMs the time of the last observation in milliseconds
 */
record FirstEventRates(double baseMs, double msPerThousandTokens, double msPerRequest, Sums sums, long observedMs) {

    private static final double PRIOR_BASE_MS = 25;
    private static final double PRIOR_MS_PER_THOUSAND_TOKENS = 1_000 / 56.0;
    private static final double PRIOR_MS_PER_REQUEST = 3;

    /** The standard deviations of the prior, as shares of its values. */
    private static final double PRIOR_DEVIATION_SHARE = 0.5;
    /** The rates stay between the prior divided and multiplied by this factor. */
    private static final double MAX_CHANGE_FACTOR = 10;

    private static final double HALF_LIFE_MS = 10_000;
    /** The standard deviation of a measured time, as a share of the expected time. */
    private static final double DEVIATION_SHARE = 0.25;

    private static final double MIN_DEVIATION_MS = 5;
    /** A measured time counts in full up to this number of standard deviations from the expected one. */
    private static final double FULL_WEIGHT_DEVIATIONS = 1.5;

    private static final double THOUSAND = 1_000;

    static FirstEventRates prior() {
        return new FirstEventRates(PRIOR_BASE_MS, PRIOR_MS_PER_THOUSAND_TOKENS, PRIOR_MS_PER_REQUEST, Sums.EMPTY, 0);
    }

    /** Tells whether there has been an observation. */
    boolean isFitted() {
        return !sums.equals(Sums.EMPTY);
    }

    /** Returns the expected time to the first event in milliseconds. */
    double expectedMs(double tokens, double requests) {
        return baseMs + msPerThousandTokens * tokens / THOUSAND + msPerRequest * requests;
    }

    /** Returns the rates after a measured time to the first event. */
    FirstEventRates with(double measuredMs, long tokens, double requests, long nowMs) {
        double expectedMs = expectedMs(tokens, requests);
        double deviationMs = Math.max(MIN_DEVIATION_MS, DEVIATION_SHARE * expectedMs);
        double deviations = Math.abs(measuredMs - expectedMs) / deviationMs;
        // Inverse variance; without a deviation the quotient is infinite and the weight is full.
        double weight = Math.min(1, FULL_WEIGHT_DEVIATIONS / deviations) / (deviationMs * deviationMs);
        double errorMs = measuredMs - prior().expectedMs(tokens, requests);
        double decay = Math.pow(0.5, Math.max(0, nowMs - observedMs) / HALF_LIFE_MS);
        return fitted(sums.with(decay, weight, tokens / THOUSAND, requests, errorMs), nowMs);
    }

    private static FirstEventRates fitted(Sums sums, long nowMs) {
        double[] change = sums.solve(
                priorWeight(PRIOR_BASE_MS),
                priorWeight(PRIOR_MS_PER_THOUSAND_TOKENS),
                priorWeight(PRIOR_MS_PER_REQUEST));
        return new FirstEventRates(
                bounded(PRIOR_BASE_MS, change[0]),
                bounded(PRIOR_MS_PER_THOUSAND_TOKENS, change[1]),
                bounded(PRIOR_MS_PER_REQUEST, change[2]),
                sums,
                nowMs);
    }

    private static double priorWeight(double prior) {
        double deviation = PRIOR_DEVIATION_SHARE * prior;
        return 1 / (deviation * deviation);
    }

    private static double bounded(double prior, double change) {
        return Math.max(prior / MAX_CHANGE_FACTOR, Math.min(prior * MAX_CHANGE_FACTOR, prior + change));
    }

    /**
     * The weighted sums of a linear regression of the error e of the prior on 1, the prompt t in thousand tokens and
     * the requests r at the engine. The names of the components name the summed product.
     */
    record Sums(double one, double t, double r, double tt, double tr, double rr, double e, double te, double re) {

        static final Sums EMPTY = new Sums(0, 0, 0, 0, 0, 0, 0, 0, 0);

        Sums with(double decay, double weight, double thousandTokens, double requests, double errorMs) {
            return new Sums(
                    decay * one + weight,
                    decay * t + weight * thousandTokens,
                    decay * r + weight * requests,
                    decay * tt + weight * thousandTokens * thousandTokens,
                    decay * tr + weight * thousandTokens * requests,
                    decay * rr + weight * requests * requests,
                    decay * e + weight * errorMs,
                    decay * te + weight * thousandTokens * errorMs,
                    decay * re + weight * requests * errorMs);
        }

        /**
         * Solves the normal equations by Cramer's rule.
         *
         * @param baseWeight the weight of the prior of the base time
         * @param tokensWeight the weight of the prior of the time to read a thousand tokens
         * @param requestsWeight the weight of the prior of the delay by a request
         * @return the changes of the three rates against the prior
         */
        double[] solve(double baseWeight, double tokensWeight, double requestsWeight) {
            double a = one + baseWeight;
            double d = tt + tokensWeight;
            double f = rr + requestsWeight;
            double minorA = d * f - tr * tr;
            double minorT = t * f - tr * r;
            double minorR = t * tr - d * r;
            double determinant = a * minorA - t * minorT + r * minorR;
            return new double[] {
                (e * minorA - te * minorT + re * minorR) / determinant,
                (-e * minorT + te * (a * f - r * r) - re * (a * tr - t * r)) / determinant,
                (e * minorR - te * (a * tr - t * r) + re * (a * d - t * t)) / determinant
            };
        }
    }
}
