package io.jayhead.dispatch;

/**
 * Limits retries to a share of the requests by means of a token bucket; immutable.
 *
 * @param tokens the number of retries that are currently allowed; may be fractional
 * @param maxTokens the capacity of the bucket
 */
public record RetryBudget(double tokens, double maxTokens) {

    /** The tokens that each request adds. */
    public static final double RETRIES_PER_REQUEST = 0.1;
    /**
     * The default capacity. It limits the retries after a quiet period, so that a failure of many upstreams does not
     * double the load.
     */
    public static final double MAX_TOKENS = 10;

    /** Tolerance for rounding errors, because sums of 0.1 can fall short of a whole number. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Clamps the tokens to the capacity of the bucket. */
    public RetryBudget {
        tokens = Math.max(0, Math.min(maxTokens, tokens));
    }

    /**
     * Returns a full bucket of the default capacity.
     *
     * @return the budget
     */
    public static RetryBudget full() {
        return full(MAX_TOKENS);
    }

    /**
     * Returns a full bucket of a given capacity.
     *
     * @param maxTokens the capacity of the bucket
     * @return the budget
     */
    public static RetryBudget full(double maxTokens) {
        return new RetryBudget(maxTokens, maxTokens);
    }

    /**
     * Records a request, which adds {@link #RETRIES_PER_REQUEST} tokens.
     *
     * @return the new budget
     */
    public RetryBudget withRequest() {
        return new RetryBudget(tokens + RETRIES_PER_REQUEST, maxTokens);
    }

    /**
     * Tells whether a retry is allowed.
     *
     * @return true if the bucket contains at least one token
     */
    public boolean allowsRetry() {
        return tokens + ROUNDING_TOLERANCE >= 1;
    }

    /**
     * Records a retry, which removes one token.
     *
     * @return the new budget
     * @throws IllegalStateException if no retry is allowed
     */
    public RetryBudget withRetry() {
        if (!allowsRetry()) {
            throw new IllegalStateException("retry budget is empty");
        }
        return new RetryBudget(tokens - 1, maxTokens);
    }
}
