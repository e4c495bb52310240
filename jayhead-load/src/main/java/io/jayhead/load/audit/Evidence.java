package io.jayhead.load.audit;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds what was read after a run; sources that were not given are empty.
 *
 * @param budgets the ledgers
 * @param bills the charges in the order of the log
 * @param executions the number of executions by order
 */
public record Evidence(
        Optional<List<BudgetState>> budgets, Optional<List<Bill>> bills, Optional<Map<String, Integer>> executions) {

    /**
     * Returns evidence without sources.
     *
     * @return the evidence
     */
    public static Evidence none() {
        return new Evidence(Optional.empty(), Optional.empty(), Optional.empty());
    }
}
