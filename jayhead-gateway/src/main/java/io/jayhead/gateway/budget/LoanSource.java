package io.jayhead.gateway.budget;

import java.util.function.LongConsumer;

/** Asks other routers for tokens. */
@FunctionalInterface
interface LoanSource {

    /**
     * Asks for a loan.
     *
     * @param tokens the tokens that are needed
     * @param rank how urgent the requests are that need them; 0 is the most urgent
     * @param cutOff whether this router cannot reach the ledger
     * @param onLoan receives the tokens of each loan, also of one that arrives late; called on the traffic thread
     * @param onDone is called once when no further loan is waited for
     */
    void borrow(long tokens, int rank, boolean cutOff, LongConsumer onLoan, Runnable onDone);
}
