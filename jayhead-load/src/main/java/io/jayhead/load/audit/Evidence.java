package io.jayhead.load.audit;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the data read after a run. A component is empty if no source was given for it.
 *
 * @param budgets the totals of the budget ledgers
 * @param bills the charges in the order of the charge log
 * @param executions the number of executions of each order number
 */
public record Evidence(
        Optional<List<BudgetState>> budgets, Optional<List<Bill>> bills, Optional<Map<String, Integer>> executions) {

    /**
     * Returns evidence without any data, as if no source was given.
     *
     * @return the evidence
     */
    public static Evidence none() {
        return new Evidence(Optional.empty(), Optional.empty(), Optional.empty());
    }
}
