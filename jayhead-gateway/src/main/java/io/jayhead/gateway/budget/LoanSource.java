package io.jayhead.gateway.budget;

import java.util.function.LongConsumer;

/** Asks other routers for tokens. */
@FunctionalInterface
interface LoanSource {

    /**
     * Asks for a loan.
     *
     * @param tokens the tokens that are needed
     * @param callback receives the tokens that other routers have given up, 0 if none; called on the traffic thread
     */
    void borrow(long tokens, LongConsumer callback);
}
