package io.jayhead.admission.prepaid;

/**
 * Decides how many tokens less urgent requests leave to more urgent ones while no tokens can be added.
 *
 * <p>Answers an outage of the store that lasts longer than the tokens held ahead: without a reserve, a few large
 * requests use up what would serve many short and more urgent ones.
 */
public final class UrgentReserve {

    /** The reserve covers this much of the demand of more urgent requests. */
    private static final double COVERED_S = 4;
    /** The reserve never exceeds this share of what was free when the outage began. */
    private static final double MAX_SHARE = 0.25;

    private UrgentReserve() {}

    /**
     * Returns the tokens to keep for more urgent requests.
     *
     * @param urgentTokensPerS the demand of requests that are more urgent than the one to be decided
     * @param freeAtStartTokens the tokens that were free when tokens were last added
     * @return the tokens
     */
    public static long tokens(double urgentTokensPerS, long freeAtStartTokens) {
        return (long) Math.min(urgentTokensPerS * COVERED_S, Math.max(0, freeAtStartTokens) * MAX_SHARE);
    }
}
