package io.jayhead.admission.prepaid;

/** Decides how much a router takes from a budget at once. */
public final class GrantRule {

    /** A router takes at most this share of what is left, divided by the number of routers, ahead of its demand. */
    private static final double AHEAD_SHARE = 0.5;

    private GrantRule() {}

    /**
     * Returns the tokens to take.
     *
     * @param need what the router wants
     * @param leftTokens what no router has taken yet
     * @param holders the routers that draw from the budget
     * @return the tokens to take; less than the required tokens if the budget cannot cover them
     */
    public static long tokensToTake(BudgetNeed need, long leftTokens, int holders) {
        long left = Math.max(0, leftTokens);
        long ahead = (long) (left * AHEAD_SHARE / Math.max(1, holders));
        long wanted = Math.max(need.requiredTokens(), Math.min(need.desiredTokens(), ahead));
        return Math.min(wanted, left);
    }
}
