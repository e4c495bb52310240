package io.jayhead.load.client;

/** Tells how a request ended for its caller. */
public enum OutcomeType {
    /** The whole answer arrived and is right. */
    WHOLE,
    /** An answer that claims to be whole has another text than the engine produces. */
    WRONG,
    /** The router said that the request did not run. */
    REFUSED,
    /** The answer broke off, visibly. */
    BROKEN,
    /** The router said that the request may have run. */
    MAY_HAVE_RUN,
    /** No router accepted a connection. */
    UNREACHABLE,
    /** No answer came before the run was over. */
    UNFINISHED
}
