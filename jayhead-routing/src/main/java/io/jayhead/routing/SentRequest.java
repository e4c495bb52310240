package io.jayhead.routing;

/**
 * Describes a request that this router has sent and that has not ended.
 *
 * @param promptTokens an upper bound of the prompt tokens
 * @param sentMs when the request was sent
 * @param firstTokenSeen whether the first token has arrived
 */
public record SentRequest(long promptTokens, long sentMs, boolean firstTokenSeen) {

    /**
     * Returns a request that waits for its first token.
     *
     * @param promptTokens an upper bound of the prompt tokens
     * @param sentMs when the request was sent
     * @return the request
     */
    public static SentRequest of(long promptTokens, long sentMs) {
        return new SentRequest(promptTokens, sentMs, false);
    }

    SentRequest withFirstToken() {
        return new SentRequest(promptTokens, sentMs, true);
    }
}
