package io.jayhead.load.audit;

import io.jayhead.model.BudgetId;

/**
 * Holds the sums of a budget's ledger after a run.
 *
 * @param id the budget
 * @param paidTokens the sum of the top-ups
 * @param consumedTokens the tokens of closed entries and those consumed of the grants of open ones; a loan counts once
 *     its lender's entry is closed, so that the charges can be ahead of it
 */
public record BudgetState(BudgetId id, long paidTokens, long consumedTokens) {}
