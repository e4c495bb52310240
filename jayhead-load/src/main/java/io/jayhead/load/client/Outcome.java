package io.jayhead.load.client;

import java.util.List;

/**
 * Describes how a request ended. Times count from the planned arrival.
 *
 * @param type how it ended
 * @param code the error code of the router, or a code of this tool; empty for whole answers
 * @param firstTokenNs the time to the first token of a stream, or 0 if there was none
 * @param answerNs the time to the end
 * @param gapsNs the times between tokens of a stream
 * @param billableTokens the tokens that the answer states as used
 */
public record Outcome(
        OutcomeType type, String code, long firstTokenNs, long answerNs, List<Long> gapsNs, long billableTokens) {

    /** Copies the list. */
    public Outcome {
        gapsNs = List.copyOf(gapsNs);
    }

    /**
     * Returns an outcome without tokens.
     *
     * @param type how it ended
     * @param code the code
     * @param answerNs the time to the end
     * @return the outcome
     */
    public static Outcome of(OutcomeType type, String code, long answerNs) {
        return new Outcome(type, code, 0, answerNs, List.of(), 0);
    }
}
