package io.jayhead.scenarios.run;

import io.jayhead.model.RequestKey;
import io.jayhead.scenarios.client.CallerAnswer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Compares the paid tokens of the budgets with their ledgers, charges, runs and received answers. */
final class BudgetChecks {

    private final Map<String, Long> paidTokens = new HashMap<>();
    private final Set<String> topUpIds = new HashSet<>();

    void recordTopUp(String organisation, String budget, String topUpId, long tokens) {
        if (topUpIds.add(budgetKey(organisation, budget) + "/" + topUpId)) {
            paidTokens.merge(budgetKey(organisation, budget), tokens, Long::sum);
        }
    }

    /** Returns the tokens topped up, granted or spent beyond the paid ones, summed over all budgets. */
    long overspentTokens(Callers callers, Deployment deployment) {
        ChargeLogView charges = ChargeLogView.read(deployment.platformUrl());
        Map<String, Long> tokensByRun = deployment.producedTokens();
        return FleetText.ORGANISATIONS.stream()
                .mapToLong(organisation -> {
                    LedgerView ledger = LedgerView.read(deployment.platformUrl(), organisation, FleetText.BUDGET);
                    long acceptedTopUpTokens = paidTokens.getOrDefault(budgetKey(organisation, FleetText.BUDGET), 0L);
                    long unexpectedTopUpTokens = Math.max(0, ledger.paidTokens() - acceptedTopUpTokens);
                    long chargedTokens = charges.tokensOf(organisation, FleetText.BUDGET);
                    long callerTokens = receivedTokens(organisation, callers);
                    long executedTokens = charges.keysOf(organisation).stream()
                            .mapToLong(key -> largestRun(key, tokensByRun))
                            .sum();
                    long spentTokens = Math.max(Math.max(chargedTokens, callerTokens), executedTokens);
                    return unexpectedTopUpTokens
                            + ledger.excessTokens()
                            + Math.max(0, spentTokens - acceptedTopUpTokens);
                })
                .sum();
    }

    /**
     * Checks that each ledger has no grants left and that its spent tokens equal the charges. Holds only after all
     * routers returned their grants. Returns the first mismatch, or empty.
     */
    static Optional<String> checkSettled(Deployment deployment) {
        ChargeLogView charges = ChargeLogView.read(deployment.platformUrl());
        return FleetText.ORGANISATIONS.stream()
                .map(organisation -> {
                    LedgerView ledger = LedgerView.read(deployment.platformUrl(), organisation, FleetText.BUDGET);
                    long chargedTokens = charges.tokensOf(organisation, FleetText.BUDGET);
                    boolean settled = ledger.spentTokens() == chargedTokens && ledger.grantedTokens() == 0;
                    return settled ? "" : organisation + " is charged " + chargedTokens + " tokens, but has " + ledger;
                })
                .filter(mismatch -> !mismatch.isEmpty())
                .findFirst();
    }

    /** Returns the tokens of the largest run of a request, because a run repeated at another engine is charged once. */
    private static long largestRun(RequestKey key, Map<String, Long> tokensByRun) {
        return tokensByRun.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(key.value()))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    private static long receivedTokens(String organisation, Callers callers) {
        Map<RequestKey, Long> tokens = new HashMap<>();
        callers.all().stream()
                .filter(request ->
                        request.isGeneration() && request.organisation().equals(organisation))
                .forEach(request -> request.received()
                        .filter(CallerAnswer::complete)
                        .ifPresent(answer -> tokens.merge(
                                request.requestKey(), answer.promptTokens() + answer.outputTokens(), Math::max)));
        return tokens.values().stream().mapToLong(Long::longValue).sum();
    }

    private static String budgetKey(String organisation, String budget) {
        return organisation + "." + budget;
    }
}
