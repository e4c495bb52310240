package io.jayhead.dispatch.forward;

/** Specifies the next step after an attempt that did not yield an answer for the caller. */
public enum ForwardDecision {
    /** Sends the request to another upstream. */
    TRY_ANOTHER,
    /** Tells the caller that the request did not run. */
    ANSWER_NOT_RUN,
    /** Passes the error answer of the upstream on to the caller. */
    PASS_FAILURE,
    /** Tells the caller that the outcome is unknown. */
    ANSWER_UNKNOWN,
    /** Aborts the answer that the caller has partly received. */
    BREAK_OFF
}
