package io.jayhead.admission.prepaid;

/**
 * Decides how many tokens a router takes from a budget at once.
 *
 * <p>Prefetched tokens, taken before requests need them, let a router serve while the store is unreachable, but are
 * lost if the router is killed. Therefore the routers together prefetch at most a share of the tokens left in the
 * budget, each in proportion to its demand. In a large fleet only some routers, the holders of the budget, prefetch;
 * they lend to all others, and keep what requests are likely to consume in an outage, which is less than they reserve.
 */
public final class GrantRule {

    /** Up to this number of routers in the fleet, all of them prefetch each budget. */
    public static final int SMALL_FLEET = 8;

    /** The most seconds of demand that are prefetched, because outages of the store last for several seconds. */
    public static final double MAX_PREFETCH_S = 12;
    /** The prefetch limit right after a start or an outage, so that one ledger update still serves many requests. */
    private static final double MIN_PREFETCH_S = 1;
    /** The share of the tokens left in the budget that the routers together prefetch at most. */
    private static final double PREFETCH_SHARE = 0.5;
    /**
     * In a large fleet, the holders keep this share of what requests reserve beside what they consume, because they
     * reserve their largest size until they end and come in bursts.
     */
    private static final double RESERVED_SHARE = 0.5;

    /** Other routers read a page at least this often while a budget is in demand. */
    private static final double UNSEEN_DEMAND_S = 2;

    private GrantRule() {}

    /**
     * Returns for how many seconds a router may prefetch.
     *
     * <p>Routers are often restarted after an outage, and lose their prefetched tokens then. The limit therefore grows
     * with the time since the store became reachable.
     *
     * @param connectedS the time since the store became reachable again or the router started, in seconds
     * @return the limit, in seconds of demand
     */
    public static double prefetchLimitS(double connectedS) {
        return Math.min(MAX_PREFETCH_S, MIN_PREFETCH_S + connectedS);
    }

    /**
     * Returns the tokens that a router may have taken since a copy of its page, if no other router has read the page
     * since.
     *
     * @param tokensPerS the demand of the router in tokens per second
     * @param leftTokens the tokens left in the copy
     * @return the tokens that it consumed since, and those that it prefetched
     */
    public static long mostTokensSinceCopy(long tokensPerS, long leftTokens) {
        double tokens = tokensPerS * (Continuity.MAX_COPY_AGE_S + MAX_PREFETCH_S);
        return Math.min((long) Math.ceil(tokens), Math.max(0, leftTokens));
    }

    /**
     * Returns the tokens that a router may have taken unseen, after the last reading of its page by any other router.
     *
     * @param tokensPerS the demand of the router in tokens per second
     * @param leftTokens the tokens left in the last reading
     * @param othersTokensPerS the demand of the other routers in tokens per second
     * @return the tokens of one update
     */
    public static long mostUnseenTokens(long tokensPerS, long leftTokens, long othersTokensPerS) {
        long waitingTokens = (long) Math.ceil(tokensPerS * UNSEEN_DEMAND_S);
        BudgetNeed need = new BudgetNeed(waitingTokens, 0, tokensPerS, 0);
        return tokensToTake(need, leftTokens, othersTokensPerS, MAX_PREFETCH_S);
    }

    /**
     * Returns the tokens to take: the required ones, or more if the prefetch limit allows it.
     *
     * @param need the need of the router
     * @param leftTokens the tokens that no router has taken; negative if the budget is overdrawn
     * @param othersTokensPerS the demand of the other routers in tokens per second
     * @param prefetchLimitS the seconds for which this router may prefetch; 0 if it is no holder of the budget
     * @return the tokens to take; fewer than required if the budget does not cover them
     */
    public static long tokensToTake(BudgetNeed need, long leftTokens, long othersTokensPerS, double prefetchLimitS) {
        long availableTokens = Math.max(0, leftTokens);
        double allTokensPerS = Math.max(1.0, (double) othersTokensPerS + need.tokensPerS());
        double sharedS = PREFETCH_SHARE * availableTokens / allTokensPerS;
        double mostTokens = need.tokensPerS() * Math.min(prefetchLimitS, sharedS);
        double neededTokens = Math.max(prefetchLimitS * neededTokensPerS(need), MIN_PREFETCH_S * need.tokensPerS());
        long prefetchTokens = (long) Math.min(mostTokens, neededTokens) - need.freeTokens();
        return Math.min(Math.max(need.requiredTokens(), prefetchTokens), availableTokens);
    }

    /**
     * Returns the tokens per second that a router prefetches. In a small fleet each router holds tokens for its own
     * requests only, so that a burst at one of them may need all that they reserve.
     */
    private static double neededTokensPerS(BudgetNeed need) {
        return need.holderVms().isEmpty()
                ? need.tokensPerS()
                : need.usedTokensPerS() + RESERVED_SHARE * need.tokensPerS();
    }
}
