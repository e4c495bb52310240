package io.jayhead.gateway.budget;

import java.util.function.LongConsumer;

/** One request for a loan whose answer may come after it was waited for; used by the traffic thread. */
final class LoanRequest {

    private final LongConsumer onTokens;
    private final LongConsumer onContinue;
    private boolean continued;

    /**
     * Creates a request.
     *
     * @param onTokens receives the tokens, also if they come late
     * @param onContinue is called once, with the tokens that came in time
     */
    LoanRequest(LongConsumer onTokens, LongConsumer onContinue) {
        this.onTokens = onTokens;
        this.onContinue = onContinue;
    }

    void answered(long tokens) {
        if (tokens > 0) {
            onTokens.accept(tokens);
        }
        continueWith(tokens);
    }

    /**
     * Stops to wait for the answer.
     *
     * @return false if the answer had come
     */
    boolean giveUpWaiting() {
        if (continued) {
            return false;
        }
        continueWith(0);
        return true;
    }

    private void continueWith(long tokens) {
        if (!continued) {
            continued = true;
            onContinue.accept(tokens);
        }
    }
}
