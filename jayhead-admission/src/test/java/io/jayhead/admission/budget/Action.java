package io.jayhead.admission.budget;

/**
 * Describes one step of a random run.
 *
 * @param kind the kind of step
 * @param holder the index of the router that acts
 * @param peer the index of the peer or message that the step involves
 * @param tokens the tokens of the step
 * @param stale whether the holder writes without reading the ledger first
 * @param replyLost whether the reply to a ledger write is lost
 */
record Action(Kind kind, int holder, int peer, long tokens, boolean stale, boolean replyLost) {

    /** Lists the kinds of steps, with their relative frequency and whether the holder reads the ledger first. */
    enum Kind {
        TOP_UP(2, false),
        READ(1, false),
        GRANT(6, true),
        REPORT(4, true),
        RETURN(1, true),
        RESERVE(8, false),
        REFUND(1, false),
        SETTLE(6, false),
        ASK_LOAN(4, false),
        ANSWER_LOAN(4, false),
        DELIVER_LOAN(4, false),
        DROP_MESSAGE(1, false),
        CLOSE(1, false),
        RESTART(1, false),
        BEGIN_RECLAIM(2, false),
        FENCE(2, false),
        COMPLETE_RECLAIM(2, false);

        final int frequency;
        final boolean readsLedger;

        Kind(int frequency, boolean readsLedger) {
            this.frequency = frequency;
            this.readsLedger = readsLedger;
        }
    }
}
