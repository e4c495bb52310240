package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;

/**
 * Describes a shortfall: a router holds too few tokens of a budget for an operation.
 *
 * @param budget the budget
 * @param neededTokens the tokens that the operation needs
 * @param availableTokens the tokens that the operation may use
 * @param reclaimed whether the ledger entry of this router was reclaimed
 */
public record InsufficientGrant(BudgetId budget, long neededTokens, long availableTokens, boolean reclaimed) {}
