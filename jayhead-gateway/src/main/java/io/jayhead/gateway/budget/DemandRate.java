package io.jayhead.gateway.budget;

/** The tokens that requests ask for in a second, averaged over the last seconds; used by the traffic thread. */
final class DemandRate {

    /** The time over which the demand is averaged. */
    private static final double WINDOW_S = 3.0;
    /** The demand of the first requests is averaged over at least this time. */
    private static final double MIN_AGE_S = 0.5;

    private final long startNs = System.nanoTime();
    private double averageTokensPerS;
    private long updatedAtNs = System.nanoTime();

    void add(long tokens) {
        decay();
        averageTokensPerS += tokens / WINDOW_S;
    }

    /** Corrects the average for the time before the first request, when there was no demand to see. */
    double tokensPerS() {
        decay();
        double ageS = Math.max(MIN_AGE_S, (System.nanoTime() - startNs) / 1e9);
        return averageTokensPerS / (1 - Math.exp(-ageS / WINDOW_S));
    }

    private void decay() {
        long nowNs = System.nanoTime();
        averageTokensPerS *= Math.exp(-(nowNs - updatedAtNs) / 1e9 / WINDOW_S);
        updatedAtNs = nowNs;
    }
}
