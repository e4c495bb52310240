package io.jayhead.admission.budget;

import io.jayhead.model.Checks;

/**
 * Holds what one router incarnation was granted and what it reported.
 *
 * <p>Only the holder changes the amounts, with one write at a time, so after a lost reply the granted tokens tell
 * whether the write took effect.
 *
 * @param grantedTokens the tokens granted and not returned
 * @param consumedTokens the tokens consumed, as last reported
 * @param lentTokens an upper bound of the tokens lent, written before the holder lends them
 * @param borrowedTokens the tokens borrowed, as last reported
 * @param state the state
 * @param reclaimNonce the nonce of the reclaim under way, empty if none
 */
public record GrantEntry(
        long grantedTokens,
        long consumedTokens,
        long lentTokens,
        long borrowedTokens,
        EntryState state,
        String reclaimNonce) {

    /** Checks the amounts. */
    public GrantEntry {
        Checks.requireNotNegative(grantedTokens, "grantedTokens");
        Checks.requireNotNegative(consumedTokens, "consumedTokens");
        Checks.requireNotNegative(lentTokens, "lentTokens");
        Checks.requireNotNegative(borrowedTokens, "borrowedTokens");
    }

    /**
     * Returns an open entry without tokens.
     *
     * @return the entry
     */
    public static GrantEntry empty() {
        return new GrantEntry(0, 0, 0, 0, EntryState.OPEN, "");
    }

    GrantEntry withGranted(long tokens) {
        return new GrantEntry(tokens, consumedTokens, lentTokens, borrowedTokens, state, reclaimNonce);
    }

    GrantEntry withReport(long consumed, long lent, long borrowed) {
        return new GrantEntry(grantedTokens, consumed, lent, borrowed, state, reclaimNonce);
    }

    GrantEntry reclaiming(String nonce) {
        return new GrantEntry(grantedTokens, consumedTokens, lentTokens, borrowedTokens, EntryState.RECLAIMING, nonce);
    }

    /**
     * Returns the spend to retire when the holder is not there to say what it lent and borrowed.
     *
     * <p>The lent bound counts in full, because a woken holder may still lend within it. The holder cannot have
     * spent and lent more than it was granted net of loans, so the grant is a second bound.
     */
    long reclaimedSpendTokens(long chargedTokens) {
        long spend = Math.addExact(Math.max(chargedTokens, consumedTokens), lentTokens) - borrowedTokens;
        return Math.min(spend, grantedTokens);
    }
}
