package io.jayhead.settlement.charge;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;

/**
 * Identifies an account of the charge log; charges are totalled by account.
 *
 * @param budget the budget
 * @param incarnation the router incarnation whose grant was charged
 */
public record ChargeAccount(BudgetId budget, IncarnationId incarnation) {}
