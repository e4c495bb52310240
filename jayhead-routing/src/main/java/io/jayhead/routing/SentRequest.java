package io.jayhead.routing;

/**
 * Describes an in-flight request of this router.
 *
 * @param promptTokens an upper bound on the number of prompt tokens
 * @param sentMs when the request was sent
 * @param firstTokenSeen whether the first token has arrived
 */
public record SentRequest(long promptTokens, long sentMs, boolean firstTokenSeen) {

    /**
     * Creates a request that waits for its first token.
     *
     * @param promptTokens an upper bound on the number of prompt tokens
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
