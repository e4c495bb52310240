package io.jayhead.admission.prepaid;

/**
 * Describes the tokens that a router wants to take from one budget, or to return to it.
 *
 * @param requiredTokens the tokens that waiting requests need beyond the free ones, 0 if none are missing
 * @param freeTokens the tokens that new requests at the router can still reserve
 * @param tokensPerS the demand of the router in tokens per second
 * @param returnedTokens the tokens to return, which the router has already deducted; 0 if it wants to take tokens
 */
public record BudgetNeed(long requiredTokens, long freeTokens, long tokensPerS, long returnedTokens) {

    /**
     * Returns the need of a router that only returns tokens.
     *
     * @param tokens the tokens to return
     * @return the need
     */
    public static BudgetNeed returning(long tokens) {
        return new BudgetNeed(0, 0, 0, tokens);
    }

    /**
     * Tells whether the router wants to take tokens.
     *
     * @return false if it only returns tokens
     */
    public boolean wantsTokens() {
        return returnedTokens == 0;
    }
}
