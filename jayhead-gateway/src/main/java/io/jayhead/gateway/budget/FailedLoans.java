package io.jayhead.gateway.budget;

/** Remembers for a short time for which requests other routers had no tokens; used by the traffic thread. */
final class FailedLoans {

    /** Other routers are not asked again within this time after they had nothing to lend. */
    private static final long FAILURE_TTL_NS = 500_000_000L;

    private long failedAtNs = System.nanoTime() - FAILURE_TTL_NS;
    private long missingTokens;
    private int rank;

    /**
     * Records that other routers did not have the tokens for a request.
     *
     * @param failedRank how urgent the request is
     * @param missing the tokens that it lacked
     */
    void failed(int failedRank, long missing) {
        failedAtNs = System.nanoTime();
        rank = failedRank;
        missingTokens = missing;
    }

    /**
     * Tells whether it is useless to ask other routers.
     *
     * @param askedRank how urgent a request is
     * @param missing the tokens that it lacks
     * @return true if a request as urgent that lacked no more failed a moment ago
     */
    boolean hasFailedRecently(int askedRank, long missing) {
        boolean recent = System.nanoTime() - failedAtNs < FAILURE_TTL_NS;
        return recent && askedRank >= rank && missing >= missingTokens;
    }
}
