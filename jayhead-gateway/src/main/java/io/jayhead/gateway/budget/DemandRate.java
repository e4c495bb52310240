package io.jayhead.gateway.budget;

/**
 * Measures the tokens per second that requests need, as an exponentially decaying average; used by the traffic thread.
 */
final class DemandRate {

    /** The time constant of the average. */
    private static final double WINDOW_S = 3.0;
    /**
     * The demand of the first requests is averaged over at least this time, so that one request does not count as a
     * high rate.
     */
    private static final double MIN_AGE_S = 0.5;

    private final long startNs = System.nanoTime();
    private double averageTokensPerS;
    private long updatedAtNs = System.nanoTime();

    void add(long tokens) {
        decay();
        averageTokensPerS += tokens / WINDOW_S;
    }

    /**
     * Returns the average, corrected for the time before this object was created, for which no demand was recorded.
     */
    double tokensPerS() {
        decay();
        double ageS = Math.max(MIN_AGE_S, (System.nanoTime() - startNs) / 1e9);
        return averageTokensPerS / (1 - Math.exp(-ageS / WINDOW_S));
    }

    /** Returns the average, in which the demand of the first seconds counts little, since it may not last. */
    double sustainedTokensPerS() {
        decay();
        return averageTokensPerS;
    }

    private void decay() {
        long nowNs = System.nanoTime();
        averageTokensPerS *= Math.exp(-(nowNs - updatedAtNs) / 1e9 / WINDOW_S);
        updatedAtNs = nowNs;
    }
}
