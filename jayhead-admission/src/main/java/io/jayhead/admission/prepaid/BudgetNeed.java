package io.jayhead.admission.prepaid;

/**
 * What a router wants to change in its entry of one budget.
 *
 * @param requiredTokens the least that waiting requests need beyond what the router has
 * @param freeTokens what the router still has for new requests
 * @param tokensPerS its demand
 * @param returnedTokens what the router gives back and has already written off
 */
public record BudgetNeed(long requiredTokens, long freeTokens, long tokensPerS, long returnedTokens) {

    /**
     * Returns the need of a router that gives tokens back.
     *
     * @param tokens the tokens
     * @return the need
     */
    public static BudgetNeed returning(long tokens) {
        return new BudgetNeed(0, 0, 0, tokens);
    }

    /**
     * Tells whether the router wants tokens.
     *
     * @return false if it only gives tokens back
     */
    public boolean wantsTokens() {
        return returnedTokens == 0;
    }
}
