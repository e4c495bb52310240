package io.jayhead.admission.budget;

import io.jayhead.model.Checks;

/**
 * Holds the entry of one router incarnation in the ledger of a budget.
 *
 * <p>Only the holder changes the amounts, and with one write at a time. After a lost reply, the granted tokens
 * therefore tell whether the write took effect.
 *
 * @param grantedTokens the tokens granted and not returned
 * @param consumedTokens the tokens consumed, as last reported
 * @param lentTokens an upper bound of the tokens lent, written before the holder lends them
 * @param borrowedTokens the tokens borrowed, as last reported
 * @param state whether the holder may still spend the grant
 * @param reclaimNonce the nonce of the reclaim in progress, empty if there is none
 */
public record GrantEntry(
        long grantedTokens,
        long consumedTokens,
        long lentTokens,
        long borrowedTokens,
        EntryState state,
        String reclaimNonce) {

    /**
     * Validates the amounts.
     *
     * @throws IllegalArgumentException if an amount is negative
     */
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

    GrantEntry withReclaim(String nonce) {
        return new GrantEntry(grantedTokens, consumedTokens, lentTokens, borrowedTokens, EntryState.RECLAIMING, nonce);
    }

    /**
     * Returns the net spend to retire for a lost holder, which cannot report what it lent and borrowed.
     *
     * <p>The upper bound of the lent tokens counts in full, because a holder that resumes may still lend up to it. The
     * net spend cannot exceed the grant: a holder consumes and lends no more than it was granted and borrowed.
     */
    long reclaimedSpendTokens(long chargedTokens) {
        long spend = Math.addExact(Math.max(chargedTokens, consumedTokens), lentTokens) - borrowedTokens;
        return Math.min(spend, grantedTokens);
    }
}
