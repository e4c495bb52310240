package io.jayhead.admission.prepaid;

/**
 * Decides how many tokens are reserved for more urgent requests while no tokens can be added.
 *
 * <p>An outage of the store may last longer than the prefetched tokens. Without a reserve, a few large requests would
 * then use up tokens that can serve many short and more urgent ones.
 */
public final class UrgentReserve {

    /** The seconds of demand of more urgent requests that the reserve covers. */
    private static final double COVERED_S = 4;
    /** The largest share of the tokens free at the start of an outage that is reserved. */
    private static final double MAX_SHARE = 0.25;

    private UrgentReserve() {}

    /**
     * Returns the tokens that a request must leave for more urgent ones.
     *
     * @param urgentTokensPerS the demand of more urgent requests, in tokens per second
     * @param freeAtStartTokens the tokens that were free when tokens were last added; a negative number counts as 0
     * @return the reserved tokens
     */
    public static long tokens(double urgentTokensPerS, long freeAtStartTokens) {
        return (long) Math.min(urgentTokensPerS * COVERED_S, Math.max(0, freeAtStartTokens) * MAX_SHARE);
    }
}
