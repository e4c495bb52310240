package io.jayhead.load.audit;

import io.jayhead.load.client.OutcomeType;
import io.jayhead.load.client.Result;
import io.jayhead.model.BudgetId;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.RequestKind;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Compares the outcomes that callers saw with ledgers, charges and executions. */
public final class Audit {

    private final List<Result> results;
    private final Map<Check, Long> counts = new EnumMap<>(Check.class);

    private Audit(List<Result> results) {
        this.results = results;
    }

    /**
     * Counts what is wrong.
     *
     * @param results the results of a run
     * @param evidence what was read after the run
     * @return the count of each check that the evidence allows
     */
    public static Map<Check, Long> of(List<Result> results, Evidence evidence) {
        Audit audit = new Audit(results);
        audit.counts.put(Check.WRONG_ANSWERS, audit.countOutcomes(OutcomeType.WRONG));
        evidence.budgets()
                .ifPresent(
                        budgets -> audit.checkBudgets(budgets, evidence.bills().orElse(List.of())));
        evidence.bills().ifPresent(audit::checkBills);
        evidence.executions().ifPresent(audit::checkExecutions);
        return audit.counts;
    }

    private long countOutcomes(OutcomeType type) {
        return results.stream()
                .filter(result -> result.outcome().type() == type)
                .count();
    }

    private void checkBudgets(List<BudgetState> budgets, List<Bill> bills) {
        Map<BudgetId, Long> billed = firstBills(bills).values().stream()
                .collect(Collectors.groupingBy(Bill::budget, Collectors.summingLong(Bill::tokens)));
        long overspend = 0;
        Map<BudgetId, Long> left = new HashMap<>();
        for (BudgetState budget : budgets) {
            long spent = Math.max(budget.consumedTokens(), billed.getOrDefault(budget.id(), 0L));
            overspend += Math.max(0, spent - budget.paidTokens());
            left.put(budget.id(), budget.paidTokens() - spent);
        }
        counts.put(Check.OVERSPEND_TOKENS, overspend);
        counts.put(
                Check.FALSE_REFUSALS,
                results.stream()
                        .filter(Audit::isBudgetRefusal)
                        .filter(result -> result.request().worstCaseTokens()
                                <= left.getOrDefault(result.request().budget(), 0L))
                        .count());
    }

    private static boolean isBudgetRefusal(Result result) {
        return result.outcome().type() == OutcomeType.REFUSED
                && result.outcome().code().equals(ErrorCode.BUDGET_EXHAUSTED.code());
    }

    /** The first charge of a key wins; a later one in the log is a fault of the writer. */
    private void checkBills(List<Bill> bills) {
        Map<String, Bill> first = firstBills(bills);
        counts.put(Check.DOUBLE_BILLS, (long) bills.size() - first.size());
        long missing = 0;
        long different = 0;
        for (Result result : results) {
            RequestKind kind = result.request().kind();
            if (result.outcome().type() != OutcomeType.WHOLE || kind == RequestKind.STATUS_READ) {
                continue;
            }
            Bill bill = first.get(result.request().requestKey().value());
            if (bill == null) {
                missing++;
            } else if (kind.isGeneration() && bill.tokens() != result.outcome().billableTokens()) {
                different++;
            }
        }
        counts.put(Check.MISSING_BILLS, missing);
        counts.put(Check.DIFFERENT_BILLS, different);
    }

    private static Map<String, Bill> firstBills(List<Bill> bills) {
        Map<String, Bill> first = new HashMap<>();
        bills.forEach(bill -> first.putIfAbsent(bill.key(), bill));
        return first;
    }

    private void checkExecutions(Map<String, Integer> executions) {
        Map<String, Set<OutcomeType>> outcomes = results.stream()
                .filter(result -> result.request().kind() == RequestKind.BOOKING)
                .collect(Collectors.groupingBy(
                        result -> result.request().key(),
                        Collectors.mapping(result -> result.outcome().type(), Collectors.toSet())));
        counts.put(
                Check.DOUBLE_EXECUTIONS,
                executions.entrySet().stream()
                        .filter(entry -> outcomes.containsKey(entry.getKey()))
                        .mapToLong(entry -> entry.getValue() - 1L)
                        .sum());
        Set<OutcomeType> notRun = Set.of(OutcomeType.REFUSED, OutcomeType.UNREACHABLE);
        counts.put(
                Check.EXECUTED_THOUGH_REFUSED, countOrders(outcomes, notRun::containsAll, executions.keySet(), true));
        counts.put(
                Check.MISSING_EXECUTIONS,
                countOrders(outcomes, types -> types.contains(OutcomeType.WHOLE), executions.keySet(), false));
    }

    private static long countOrders(
            Map<String, Set<OutcomeType>> outcomes,
            Predicate<Set<OutcomeType>> condition,
            Set<String> executed,
            boolean wanted) {
        return outcomes.entrySet().stream()
                .filter(entry -> condition.test(entry.getValue()))
                .filter(entry -> executed.contains(entry.getKey()) == wanted)
                .count();
    }
}
