package io.jayhead.scenarios.client;

import java.util.List;
import java.util.Optional;

/**
 * Holds what a caller received.
 *
 * @param status the HTTP status, or 0 if no answer arrived
 * @param tokens the tokens received, in the order of arrival; one text for an answer that is not streamed
 * @param complete whether the answer ended as its form demands
 * @param verdict the verdict that the answer states
 * @param errorCode the error code
 * @param promptTokens the prompt tokens of the usage
 * @param outputTokens the output tokens of the usage
 * @param fault how the connection failed, or empty
 */
public record CallerAnswer(
        int status,
        List<ReceivedToken> tokens,
        boolean complete,
        Optional<String> verdict,
        Optional<String> errorCode,
        long promptTokens,
        long outputTokens,
        String fault) {

    /** Copies the tokens. */
    public CallerAnswer {
        tokens = List.copyOf(tokens);
    }

    /**
     * Returns the answer of a request that got none.
     *
     * @param fault how the connection failed
     * @return the answer
     */
    public static CallerAnswer none(String fault) {
        return new CallerAnswer(0, List.of(), false, Optional.empty(), Optional.empty(), 0, 0, fault);
    }

    /**
     * Tells whether the request was refused as not run.
     *
     * @return whether the verdict is {@code not_run}
     */
    public boolean isNotRun() {
        return verdict.filter("not_run"::equals).isPresent();
    }

    /**
     * Returns the joined text.
     *
     * @return the texts of all tokens
     */
    public String text() {
        return tokens.stream().map(ReceivedToken::text).reduce("", String::concat);
    }

    @Override
    public String toString() {
        return "status " + status + ", " + tokens.size() + " tokens, complete " + complete + ", verdict "
                + verdict.orElse("none") + ", error " + errorCode.orElse("none")
                + (fault.isEmpty() ? "" : ", " + fault);
    }
}
