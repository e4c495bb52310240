package io.jayhead.load.client;

import java.util.List;

/**
 * Describes how a request ended for its caller. Times are in nanoseconds and count from the planned arrival, except for
 * the gaps.
 *
 * @param type the kind of ending
 * @param code the error code of the router, or a code set by this tool; empty for whole answers
 * @param firstTokenNs the time to the first token of a stream; 0 if no token arrived
 * @param answerNs the time to the end of the answer or to the failure
 * @param gapsNs the times between successive tokens of a stream
 * @param billableTokens the prompt and output tokens that the answer reports as used; 0 if it reports none
 */
public record Outcome(
        OutcomeType type, String code, long firstTokenNs, long answerNs, List<Long> gapsNs, long billableTokens) {

    /** Copies the list. */
    public Outcome {
        gapsNs = List.copyOf(gapsNs);
    }

    /**
     * Returns an outcome without token times and token counts.
     *
     * @param type the kind of ending
     * @param code the error code; empty for whole answers
     * @param answerNs the time to the end of the answer or to the failure
     * @return the outcome
     */
    public static Outcome of(OutcomeType type, String code, long answerNs) {
        return new Outcome(type, code, 0, answerNs, List.of(), 0);
    }
}
