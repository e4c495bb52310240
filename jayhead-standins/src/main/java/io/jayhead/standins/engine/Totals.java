package io.jayhead.standins.engine;

/**
 * Holds the totals of an engine since its start.
 *
 * @param promptTokens the prompt tokens processed
 * @param outputTokens the output tokens produced
 * @param runs the number of runs started
 */
public record Totals(long promptTokens, long outputTokens, long runs) {

    Totals withRun(int runPromptTokens) {
        return new Totals(promptTokens + runPromptTokens, outputTokens, runs + 1);
    }

    Totals withToken() {
        return new Totals(promptTokens, outputTokens + 1, runs);
    }
}
