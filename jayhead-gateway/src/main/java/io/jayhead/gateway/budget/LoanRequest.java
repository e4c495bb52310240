package io.jayhead.gateway.budget;

import java.util.function.LongConsumer;

/** A request for a loan whose answer may arrive after the wait for it has ended; used by the traffic thread. */
final class LoanRequest {

    private final LongConsumer onTokens;
    private final LongConsumer onContinue;
    private boolean continued;

    /**
     * Creates a request.
     *
     * @param onTokens receives the tokens lent, even if they arrive late; not called for 0 tokens
     * @param onContinue is called once with the tokens that arrived in time; 0 if none did
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
     * Stops waiting for the answer.
     *
     * @return false if the answer had already arrived
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
