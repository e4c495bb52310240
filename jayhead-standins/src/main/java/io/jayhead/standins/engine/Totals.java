package io.jayhead.standins.engine;

/**
 * Sums the work of an engine since its start.
 *
 * @param promptTokens prompt tokens read
 * @param outputTokens output tokens produced
 * @param runs runs started
 */
public record Totals(long promptTokens, long outputTokens, long runs) {

    Totals withRun(int readTokens) {
        return new Totals(promptTokens + readTokens, outputTokens, runs + 1);
    }

    Totals withToken() {
        return new Totals(promptTokens, outputTokens + 1, runs);
    }
}
