package io.jayhead.gateway.budget;

import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** Borrows tokens from other routers. */
@FunctionalInterface
interface LoanSource {

    /**
     * Asks other routers for tokens until enough are lent or no router is left to ask.
     *
     * @param need the tokens that are needed
     * @param onLoan receives the tokens of every loan, even of loans that arrive late; called on the traffic thread
     * @param onDone is called once when the wait for loans has ended
     */
    void borrow(LoanNeed need, LongConsumer onLoan, Consumer<LoanResult> onDone);
}
