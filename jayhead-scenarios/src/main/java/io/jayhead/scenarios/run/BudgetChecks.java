package io.jayhead.scenarios.run;

import io.jayhead.model.RequestKey;
import io.jayhead.scenarios.client.CallerAnswer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Compares paid tokens with charges and with what callers received. */
final class BudgetChecks {

    private final Map<String, Long> paidTokens = new HashMap<>();
    private final Set<String> topUpIds = new HashSet<>();

    void paid(String organisation, String budget, String topUpId, long tokens) {
        if (topUpIds.add(account(organisation, budget) + "/" + topUpId)) {
            paidTokens.merge(account(organisation, budget), tokens, Long::sum);
        }
    }

    /** Returns the tokens spent beyond the paid ones, summed over all budgets. */
    long overspentTokens(Callers callers, ChargeLogView charges) {
        return FleetText.ORGANISATIONS.stream()
                .mapToLong(organisation -> {
                    long spent = Math.max(
                            charges.tokensOf(organisation, FleetText.BUDGET), receivedTokens(organisation, callers));
                    long paid = paidTokens.getOrDefault(account(organisation, FleetText.BUDGET), 0L);
                    return Math.max(0, spent - paid);
                })
                .sum();
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

    private static String account(String organisation, String budget) {
        return organisation + "." + budget;
    }
}
