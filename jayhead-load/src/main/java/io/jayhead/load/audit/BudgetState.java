package io.jayhead.load.audit;

import io.jayhead.model.BudgetId;

/**
 * Holds the totals of the ledger of a budget after a run.
 *
 * @param id the budget
 * @param paidTokens the sum of the top-ups
 * @param consumedTokens the tokens that closed entries consumed and those that open entries report as consumed; tokens
 *     that a router borrowed count only when the entry of the lender is closed, so the charge log can show more
 */
public record BudgetState(BudgetId id, long paidTokens, long consumedTokens) {}
