package io.jayhead.settlement.charge;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;

/**
 * Identifies what charges are summed by.
 *
 * @param budget the budget
 * @param incarnation the router incarnation that spent
 */
public record ChargeAccount(BudgetId budget, IncarnationId incarnation) {}
