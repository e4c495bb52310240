package io.jayhead.settlement.charge;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;

/**
 * Describes the charge for one request.
 *
 * @param key identifies the request
 * @param budget the budget that is charged
 * @param incarnation the router incarnation whose grant covered the request
 * @param promptTokens the tokens of the prompt
 * @param outputTokens the tokens of the output
 * @param service the name of the service called
 */
public record ChargeEntry(
        RequestKey key,
        BudgetId budget,
        IncarnationId incarnation,
        long promptTokens,
        long outputTokens,
        String service) {

    /** Checks that the token counts are not negative. */
    public ChargeEntry {
        Checks.requireNotNegative(promptTokens, "promptTokens");
        Checks.requireNotNegative(outputTokens, "outputTokens");
    }

    /**
     * Returns the tokens charged to the budget.
     *
     * @return the sum of prompt and output tokens
     */
    public long tokens() {
        return Math.addExact(promptTokens, outputTokens);
    }

    /**
     * Returns the account that this entry counts against.
     *
     * @return the budget and the router incarnation
     */
    public ChargeAccount account() {
        return new ChargeAccount(budget, incarnation);
    }
}
