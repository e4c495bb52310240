package io.jayhead.admission.prepaid;

/** One step of a history of routers and a store that loses and delays calls. */
record LedgerStep(Action action, int router, long tokens) {

    enum Action {
        /** A router asks for tokens and its update is answered. */
        TAKE,
        /** A router gives tokens back and its update is answered. */
        GIVE_BACK,
        /** The update is executed and its answer is lost. */
        TAKE_ANSWER_LOST,
        /** The return is executed and its answer is lost. */
        GIVE_BACK_ANSWER_LOST,
        /** The update is lost now and executed at a later step if its condition still holds. */
        TAKE_LATE,
        /** The return is lost now and executed at a later step if its condition still holds. */
        GIVE_BACK_LATE,
        /** The oldest late update reaches the store. */
        LATE_ARRIVES,
        /** A router reads the page. */
        READ,
        /** A router is replaced by a new incarnation. */
        KILL
    }
}
