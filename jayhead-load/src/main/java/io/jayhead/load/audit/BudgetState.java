package io.jayhead.load.audit;

/**
 * Holds the sums of a budget's ledger after a run.
 *
 * @param organisation the organisation that pays
 * @param paidTokens the sum of the top-ups
 * @param consumedTokens the tokens of closed entries and those consumed in open ones
 */
public record BudgetState(String organisation, long paidTokens, long consumedTokens) {

    /**
     * Returns what was left.
     *
     * @return unallocated tokens and unspent open grants
     */
    public long leftTokens() {
        return paidTokens - consumedTokens;
    }
}
