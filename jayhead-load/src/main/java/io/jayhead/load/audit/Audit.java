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

/** Compares the outcomes that callers saw with budget ledgers, charges and executions of bookings. */
public final class Audit {

    private final List<Result> results;
    private final Map<Check, Long> counts = new EnumMap<>(Check.class);

    private Audit(List<Result> results) {
        this.results = results;
    }

    /**
     * Counts the violations of each check.
     *
     * @param results the results of a run
     * @param evidence the ledgers, charges and executions read after the run
     * @return the count of each check for which there is evidence
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
        Map<BudgetId, Long> billedTokens = firstBills(bills).values().stream()
                .collect(Collectors.groupingBy(Bill::budget, Collectors.summingLong(Bill::tokens)));
        long overspendTokens = 0;
        Map<BudgetId, Long> remainingTokens = new HashMap<>();
        for (BudgetState budget : budgets) {
            long spentTokens = Math.max(budget.consumedTokens(), billedTokens.getOrDefault(budget.id(), 0L));
            overspendTokens += Math.max(0, spentTokens - budget.paidTokens());
            remainingTokens.put(budget.id(), budget.paidTokens() - spentTokens);
        }
        counts.put(Check.OVERSPEND_TOKENS, overspendTokens);
        counts.put(
                Check.FALSE_REFUSALS,
                results.stream()
                        .filter(Audit::isBudgetRefusal)
                        .filter(result -> result.request().worstCaseTokens()
                                <= remainingTokens.getOrDefault(result.request().budget(), 0L))
                        .count());
    }

    private static boolean isBudgetRefusal(Result result) {
        return result.outcome().type() == OutcomeType.REFUSED
                && result.outcome().code().equals(ErrorCode.BUDGET_EXHAUSTED.code());
    }

    /** Compares answers with the first charge of their key. Later charges of a key are errors of their writers. */
    private void checkBills(List<Bill> bills) {
        Map<String, Bill> firstBills = firstBills(bills);
        counts.put(Check.DOUBLE_BILLS, (long) bills.size() - firstBills.size());
        long missingBills = 0;
        long differentBills = 0;
        for (Result result : results) {
            RequestKind kind = result.request().kind();
            if (result.outcome().type() != OutcomeType.WHOLE || kind == RequestKind.STATUS_READ) {
                continue;
            }
            Bill bill = firstBills.get(result.request().requestKey().value());
            if (bill == null) {
                missingBills++;
            } else if (kind.isGeneration() && bill.tokens() != result.outcome().billableTokens()) {
                differentBills++;
            }
        }
        counts.put(Check.MISSING_BILLS, missingBills);
        counts.put(Check.DIFFERENT_BILLS, differentBills);
    }

    private static Map<String, Bill> firstBills(List<Bill> bills) {
        Map<String, Bill> firstBills = new HashMap<>();
        bills.forEach(bill -> firstBills.putIfAbsent(bill.key(), bill));
        return firstBills;
    }

    private void checkExecutions(Map<String, Integer> executions) {
        Map<String, Set<OutcomeType>> typesByOrder = results.stream()
                .filter(result -> result.request().kind() == RequestKind.BOOKING)
                .collect(Collectors.groupingBy(
                        result -> result.request().key(),
                        Collectors.mapping(result -> result.outcome().type(), Collectors.toSet())));
        counts.put(
                Check.DOUBLE_EXECUTIONS,
                executions.entrySet().stream()
                        .filter(entry -> typesByOrder.containsKey(entry.getKey()))
                        .mapToLong(entry -> entry.getValue() - 1L)
                        .sum());
        Set<OutcomeType> notRunTypes = Set.of(OutcomeType.REFUSED, OutcomeType.UNREACHABLE);
        counts.put(
                Check.EXECUTED_THOUGH_REFUSED,
                countOrders(typesByOrder, notRunTypes::containsAll, executions.keySet(), true));
        counts.put(
                Check.MISSING_EXECUTIONS,
                countOrders(typesByOrder, types -> types.contains(OutcomeType.WHOLE), executions.keySet(), false));
    }

    private static long countOrders(
            Map<String, Set<OutcomeType>> typesByOrder,
            Predicate<Set<OutcomeType>> condition,
            Set<String> executed,
            boolean expectExecuted) {
        return typesByOrder.entrySet().stream()
                .filter(entry -> condition.test(entry.getValue()))
                .filter(entry -> executed.contains(entry.getKey()) == expectExecuted)
                .count();
    }
}
