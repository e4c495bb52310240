package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;

/**
 * Says that a router holds too few tokens of a budget.
 *
 * @param budget the budget
 * @param neededTokens the tokens asked for
 * @param availableTokens the tokens that could be used
 * @param voided whether the entry of this router was reclaimed
 */
public record InsufficientGrant(BudgetId budget, long neededTokens, long availableTokens, boolean voided) {}
