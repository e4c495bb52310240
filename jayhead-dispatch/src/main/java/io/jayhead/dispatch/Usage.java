package io.jayhead.dispatch;

import io.jayhead.model.Checks;

/**
 * Counts the tokens of one request.
 *
 * @param promptTokens the tokens of the prompt
 * @param outputTokens the tokens of the answer
 */
public record Usage(long promptTokens, long outputTokens) {

    /** Checks the counts. */
    public Usage {
        Checks.requireNotNegative(promptTokens, "promptTokens");
        Checks.requireNotNegative(outputTokens, "outputTokens");
    }

    /**
     * Returns the tokens to charge.
     *
     * @return the sum
     */
    public long totalTokens() {
        return promptTokens + outputTokens;
    }
}
