package io.jayhead.load.audit;

import io.jayhead.model.BudgetId;

/**
 * Holds one charge of the log.
 *
 * @param key the request
 * @param budget the budget that pays
 * @param tokens the tokens charged
 */
public record Bill(String key, BudgetId budget, long tokens) {}
