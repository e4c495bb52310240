package io.jayhead.load.audit;

import io.jayhead.model.BudgetId;

/**
 * Holds one entry of the charge log.
 *
 * @param key the request key in hexadecimal digits
 * @param budget the budget that pays
 * @param tokens the tokens charged
 */
public record Bill(String key, BudgetId budget, long tokens) {}
