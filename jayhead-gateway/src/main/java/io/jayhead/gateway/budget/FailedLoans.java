package io.jayhead.gateway.budget;

/** Remembers for a short time that other routers could not lend enough tokens; used by the traffic thread. */
final class FailedLoans {

    /**
     * Within this time after a failed loan, other routers are not asked again for as many or more tokens for requests
     * that are no more urgent.
     */
    private static final long FAILURE_TTL_NS = 500_000_000L;

    private long failedAtNs = System.nanoTime() - FAILURE_TTL_NS;
    private long missingTokens;
    private int rank;

    /**
     * Records that other routers could not lend the tokens that a request lacked.
     *
     * @param failedRank the urgency of the request; 0 is the most urgent
     * @param missing the tokens that it lacked
     */
    void recordFailure(int failedRank, long missing) {
        failedAtNs = System.nanoTime();
        rank = failedRank;
        missingTokens = missing;
    }

    /**
     * Tells whether a loan that was at least as easy to get has recently failed.
     *
     * @param askedRank the urgency of a request; 0 is the most urgent
     * @param missing the tokens that it lacks
     * @return true if a loan for a request that was at least as urgent and lacked no more tokens has recently failed
     */
    boolean hasFailedRecently(int askedRank, long missing) {
        boolean recent = System.nanoTime() - failedAtNs < FAILURE_TTL_NS;
        return recent && askedRank >= rank && missing >= missingTokens;
    }
}
