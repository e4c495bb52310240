package io.jayhead.gateway.budget;

/**
 * Describes the tokens that a router wants to borrow for one budget.
 *
 * @param neededTokens the tokens that waiting requests lack; other routers are asked until they have lent as many
 * @param wantedTokens the tokens to ask for: the needed ones, and some for the next requests
 * @param rank the urgency of the requests that need the tokens; 0 is the most urgent
 * @param cutOff whether this router cannot reach the ledger
 */
record LoanNeed(long neededTokens, long wantedTokens, int rank, boolean cutOff) {

    /** Returns what is still needed and wanted after a loan of some tokens. */
    LoanNeed after(long lentTokens) {
        return new LoanNeed(neededTokens - lentTokens, wantedTokens - lentTokens, rank, cutOff);
    }
}
