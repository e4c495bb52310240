package io.jayhead.admission.prepaid;

/**
 * Decides how much a router takes from a budget at once.
 *
 * <p>Tokens that are held ahead keep a router serving while the store is out of reach, and are lost when it is killed.
 * So all routers together hold at most a share of what is left, divided by their demand.
 */
public final class GrantRule {

    /** The demand that is held ahead at the most; outages of the store last for several seconds. */
    public static final double MAX_AHEAD_S = 12;
    /** The demand that is held ahead at the least, so that one ledger update serves many requests. */
    private static final double MIN_AHEAD_S = 1;
    /** The routers together hold at most this part of the tokens that nobody has taken. */
    private static final double AHEAD_SHARE = 0.5;

    private GrantRule() {}

    /**
     * Returns the demand that a router may hold ahead.
     *
     * <p>Restarts of routers often follow an outage, and what they hold is lost then. So the demand that is held grows
     * with the time that the router has been in touch with the store.
     *
     * @param inTouchS the time since the store came back or the router started, in seconds
     * @return the demand, in seconds
     */
    public static double aheadLimitS(double inTouchS) {
        return Math.min(MAX_AHEAD_S, MIN_AHEAD_S + inTouchS);
    }

    /**
     * Returns the tokens to take.
     *
     * @param need what the router wants
     * @param leftTokens what no router has taken yet
     * @param othersTokensPerS the demand of the other routers
     * @param aheadLimitS the demand that this router may hold ahead, in seconds
     * @return the tokens to take; less than the required tokens if the budget cannot cover them
     */
    public static long tokensToTake(BudgetNeed need, long leftTokens, long othersTokensPerS, double aheadLimitS) {
        long left = Math.max(0, leftTokens);
        double allTokensPerS = Math.max(1.0, (double) othersTokensPerS + need.tokensPerS());
        double aheadS = Math.min(aheadLimitS, AHEAD_SHARE * left / allTokensPerS);
        long ahead = (long) (need.tokensPerS() * aheadS) - need.freeTokens();
        return Math.min(Math.max(need.requiredTokens(), ahead), left);
    }
}
