package io.jayhead.scenarios.client;

import java.util.List;
import java.util.Optional;

/**
 * Holds the answer that a caller received, complete or not.
 *
 * @param status the HTTP status, or 0 if no answer arrived
 * @param tokens the tokens in the order of arrival; a single token with the whole text if the answer to a generation is
 *     not streamed; empty for a plain service
 * @param complete whether the answer ended properly: a 2xx document, or a stream that ends with {@code done}
 * @param verdict the verdict in the answer; {@code ran} for a successful answer of a plain service, which states none;
 *     otherwise empty if the answer states none
 * @param errorCode the error code, or empty if the answer is no error
 * @param promptTokens the prompt tokens in the usage, or 0 if the answer has none
 * @param outputTokens the output tokens in the usage, or 0 if the answer has none
 * @param fault the exception that ended the connection, as text, or empty if none did
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
     * Creates the value for a request that got no answer.
     *
     * @param fault the exception that ended the connection, as text
     * @return an answer with status 0
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
     * Returns the concatenated text.
     *
     * @return the texts of all tokens, in the order of arrival
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
