package io.jayhead.scenarios.run;

import io.jayhead.model.RequestKey;
import io.jayhead.scenarios.client.CallerAnswer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
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
    long overspentTokens(Callers callers, Deployment deployment) {
        ChargeLogView charges = ChargeLogView.read(deployment.platform());
        Map<String, Long> produced = deployment.producedTokens();
        return FleetText.ORGANISATIONS.stream()
                .mapToLong(organisation -> {
                    LedgerView ledger = LedgerView.read(deployment.platform(), organisation, FleetText.BUDGET);
                    long paid = paidTokens.getOrDefault(account(organisation, FleetText.BUDGET), 0L);
                    long invented = Math.max(0, ledger.paidTokens() - paid);
                    long charged = charges.tokensOf(organisation, FleetText.BUDGET);
                    long received = receivedTokens(organisation, callers);
                    long ran = charges.keysOf(organisation).stream()
                            .mapToLong(key -> largestRun(key, produced))
                            .sum();
                    long spent = Math.max(Math.max(charged, received), ran);
                    return invented + ledger.excessTokens() + Math.max(0, spent - paid);
                })
                .sum();
    }

    /** Compares the spend in the ledgers with the charges, after all routers returned their grants. */
    static Optional<String> checkSettled(Deployment deployment) {
        ChargeLogView charges = ChargeLogView.read(deployment.platform());
        return FleetText.ORGANISATIONS.stream()
                .map(organisation -> {
                    LedgerView ledger = LedgerView.read(deployment.platform(), organisation, FleetText.BUDGET);
                    long charged = charges.tokensOf(organisation, FleetText.BUDGET);
                    boolean equal = ledger.spentTokens() == charged && ledger.grantedTokens() == 0;
                    return equal ? "" : organisation + " is charged " + charged + " tokens, but has " + ledger;
                })
                .filter(fault -> !fault.isEmpty())
                .findFirst();
    }

    /** Returns the tokens of the largest run. A run that another engine repeats is paid once. */
    private static long largestRun(RequestKey key, Map<String, Long> produced) {
        return produced.entrySet().stream()
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

    private static String account(String organisation, String budget) {
        return organisation + "." + budget;
    }
}
