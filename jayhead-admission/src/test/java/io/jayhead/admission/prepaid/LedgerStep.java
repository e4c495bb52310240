package io.jayhead.admission.prepaid;

/** Describes one step of a random run of routers and a store that loses and delays calls. */
record LedgerStep(Action action, int router, long tokens) {

    enum Action {
        /** A router takes tokens, and its update is executed and answered. */
        TAKE,
        /** A router returns tokens, and its update is executed and answered. */
        GIVE_BACK,
        /** A router takes tokens; its update is executed, but the answer is lost. */
        TAKE_ANSWER_LOST,
        /** A router returns tokens; its update is executed, but the answer is lost. */
        GIVE_BACK_ANSWER_LOST,
        /** A router takes tokens; its update is executed in a later step, if its condition still holds then. */
        TAKE_LATE,
        /** A router returns tokens; its update is executed in a later step, if its condition still holds then. */
        GIVE_BACK_LATE,
        /** The oldest delayed update reaches the store. */
        LATE_ARRIVES,
        /** A router reads the page. */
        READ,
        /** A router is replaced by a new incarnation. */
        KILL
    }
}
