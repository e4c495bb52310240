package io.jayhead.gateway.budget;

import java.util.function.LongConsumer;

/** Borrows tokens from other routers. */
@FunctionalInterface
interface LoanSource {

    /**
     * Asks other routers for tokens until enough are lent or no router is left to ask.
     *
     * @param tokens the tokens that are needed
     * @param rank the urgency of the requests that need them; 0 is the most urgent
     * @param cutOff whether this router cannot reach the ledger
     * @param onLoan receives the tokens of every loan, even of loans that arrive late; called on the traffic thread
     * @param onDone is called once when the wait for loans has ended
     */
    void borrow(long tokens, int rank, boolean cutOff, LongConsumer onLoan, Runnable onDone);
}
