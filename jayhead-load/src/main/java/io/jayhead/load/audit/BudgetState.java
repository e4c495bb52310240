package io.jayhead.load.audit;

import io.jayhead.model.BudgetId;

/**
 * Holds the sums of a budget's ledger after a run.
 *
 * @param id the budget
 * @param paidTokens the sum of the top-ups
 * @param consumedTokens the tokens of closed entries and those consumed in open ones
 */
public record BudgetState(BudgetId id, long paidTokens, long consumedTokens) {

    /**
     * Returns what was left.
     *
     * @return unallocated tokens and unspent open grants
     */
    public long leftTokens() {
        return paidTokens - consumedTokens;
    }
}
