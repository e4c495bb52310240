package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;

/**
 * Holds the tokens reserved for one request.
 *
 * @param budget the budget
 * @param tokens the most tokens that the request may still consume; {@link GrantBook#reduce} lowers it
 */
public record Reservation(BudgetId budget, long tokens) {}
