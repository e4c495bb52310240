package io.jayhead.dispatch;

/**
 * Limits retries to a share of the requests; an immutable token bucket.
 *
 * @param tokens the retries that may be made now
 * @param maxTokens the size of the bucket
 */
public record RetryBudget(double tokens, double maxTokens) {

    /** The retries earned by one request. */
    public static final double RETRIES_PER_REQUEST = 0.1;
    /** Bounds the retries after a quiet time, so that a failure of many upstreams does not double the load. */
    public static final double MAX_TOKENS = 10;

    /** Sums of 0.1 fall short of a whole number by rounding errors. */
    private static final double ROUNDING = 1e-9;

    /** Limits the tokens to the size of the bucket. */
    public RetryBudget {
        tokens = Math.max(0, Math.min(maxTokens, tokens));
    }

    /**
     * Returns a full bucket.
     *
     * @return the budget
     */
    public static RetryBudget full() {
        return full(MAX_TOKENS);
    }

    /**
     * Returns a full bucket of a given size.
     *
     * @param maxTokens the size of the bucket
     * @return the budget
     */
    public static RetryBudget full(double maxTokens) {
        return new RetryBudget(maxTokens, maxTokens);
    }

    /**
     * Counts a request.
     *
     * @return the new budget
     */
    public RetryBudget withRequest() {
        return new RetryBudget(tokens + RETRIES_PER_REQUEST, maxTokens);
    }

    /**
     * Tells whether a retry may be made.
     *
     * @return true if there is a token
     */
    public boolean allowsRetry() {
        return tokens + ROUNDING >= 1;
    }

    /**
     * Counts a retry.
     *
     * @return the new budget
     * @throws IllegalStateException if no retry may be made
     */
    public RetryBudget withRetry() {
        if (!allowsRetry()) {
            throw new IllegalStateException("retry budget is empty");
        }
        return new RetryBudget(tokens - 1, maxTokens);
    }
}
