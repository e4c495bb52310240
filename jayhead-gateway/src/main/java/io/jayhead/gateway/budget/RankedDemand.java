package io.jayhead.gateway.budget;

import java.util.Arrays;

/** Measures the demand for tokens by rank, that is, by urgency; used by the traffic thread. */
final class RankedDemand {

    /** The least urgent rank; 0 is the most urgent. */
    private static final int MAX_RANK = 9;

    private final DemandRate[] byRank = new DemandRate[MAX_RANK + 1];

    RankedDemand() {
        for (int rank = 0; rank <= MAX_RANK; rank++) {
            byRank[rank] = new DemandRate();
        }
    }

    void add(int rank, long tokens) {
        byRank[Math.max(0, Math.min(MAX_RANK, rank))].add(tokens);
    }

    /** Returns the demand of all requests, in tokens per second. */
    double tokensPerS() {
        return moreUrgentThan(MAX_RANK + 1);
    }

    /**
     * Returns the demand that has lasted, see {@link DemandRate#sustainedTokensPerS()}, of requests that are at least
     * as urgent as a rank, in tokens per second.
     */
    double sustainedTokensPerS(int leastUrgentRank) {
        return Arrays.stream(byRank)
                .limit(leastUrgentRank + 1L)
                .mapToDouble(DemandRate::sustainedTokensPerS)
                .sum();
    }

    /** Returns the demand of requests that are more urgent than a rank, in tokens per second. */
    double moreUrgentThan(int rank) {
        double sum = 0;
        for (int urgentRank = 0; urgentRank < Math.min(rank, byRank.length); urgentRank++) {
            sum += byRank[urgentRank].tokensPerS();
        }
        return sum;
    }
}
