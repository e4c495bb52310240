package io.jayhead.settlement.charge;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;

/**
 * Bills one request.
 *
 * @param key the request
 * @param budget the budget that pays
 * @param incarnation the router incarnation whose grant was used
 * @param promptTokens the tokens of the prompt
 * @param outputTokens the tokens of the answer
 * @param service the service called
 */
public record ChargeEntry(
        RequestKey key,
        BudgetId budget,
        IncarnationId incarnation,
        long promptTokens,
        long outputTokens,
        String service) {

    /** Checks the token counts. */
    public ChargeEntry {
        Checks.requireNotNegative(promptTokens, "promptTokens");
        Checks.requireNotNegative(outputTokens, "outputTokens");
    }

    /**
     * Returns the sum that the budget pays.
     *
     * @return prompt and output tokens
     */
    public long tokens() {
        return Math.addExact(promptTokens, outputTokens);
    }

    /**
     * Returns the account that this entry counts against.
     *
     * @return budget and incarnation
     */
    public ChargeAccount account() {
        return new ChargeAccount(budget, incarnation);
    }
}
