package io.jayhead.admission.prepaid;

/**
 * What a router wants to change in its entry of one budget.
 *
 * @param requiredTokens the least that waiting requests need beyond what the router has
 * @param desiredTokens what the router would like to take, at least the required tokens
 * @param returnedTokens what the router gives back and has already written off
 */
public record BudgetNeed(long requiredTokens, long desiredTokens, long returnedTokens) {

    /** Makes the desired tokens cover the required ones. */
    public BudgetNeed {
        desiredTokens = Math.max(requiredTokens, desiredTokens);
    }

    /**
     * Tells whether there is nothing to change.
     *
     * @return true if nothing is wanted or returned
     */
    public boolean isEmpty() {
        return desiredTokens <= 0 && returnedTokens <= 0;
    }
}
