package io.jayhead.admission.budget;

/** One step of a random run: who does what with whom, on a stale read or not, and whether the reply is lost. */
record Action(Kind kind, int holder, int peer, long tokens, boolean stale, boolean replyLost) {

    /** The kinds of steps with their relative frequency. */
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
        final boolean reads;

        Kind(int frequency, boolean reads) {
            this.frequency = frequency;
            this.reads = reads;
        }
    }
}
