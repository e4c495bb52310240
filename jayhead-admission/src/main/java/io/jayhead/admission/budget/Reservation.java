package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;

/**
 * Holds the tokens reserved for one request.
 *
 * @param budget the budget
 * @param tokens the most tokens that the request may consume
 */
public record Reservation(BudgetId budget, long tokens) {}
