package io.jayhead.dispatch;

import io.jayhead.model.Checks;

/**
 * Holds the tokens that one request used.
 *
 * @param promptTokens the number of prompt tokens, not negative
 * @param outputTokens the number of output tokens, not negative
 */
public record Usage(long promptTokens, long outputTokens) {

    /**
     * Validates the counts.
     *
     * @throws IllegalArgumentException if a count is negative
     */
    public Usage {
        Checks.requireNotNegative(promptTokens, "promptTokens");
        Checks.requireNotNegative(outputTokens, "outputTokens");
    }

    /**
     * Returns the total number of tokens to charge.
     *
     * @return the sum of prompt and output tokens
     */
    public long totalTokens() {
        return promptTokens + outputTokens;
    }
}
