package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;

/**
 * Holds the tokens set aside for one request.
 *
 * @param budget the budget
 * @param tokens the most that the request may still consume
 */
public record Reservation(BudgetId budget, long tokens) {}
