package io.jayhead.load.client;

/** Classifies how a request ended for its caller. */
public enum OutcomeType {
    /** The complete answer arrived and is correct. */
    WHOLE,
    /** The answer claims to be complete but has unexpected content, or a streamed token has an unexpected index. */
    WRONG,
    /** The router answered with an error and the verdict that the request did not run. */
    REFUSED,
    /** No answer arrived, or it ended early or with an error, which the caller can detect. */
    BROKEN,
    /** The router answered with an error and the verdict that the request may have run. */
    MAY_HAVE_RUN,
    /** Every router refused the connection. */
    UNREACHABLE,
    /** No complete answer arrived before the end of the run. */
    UNFINISHED
}
