package io.jayhead.dispatch.forward;

/** What to do when an attempt has ended without an answer for the caller. */
public enum ForwardDecision {
    /** Sends the request to another upstream. */
    TRY_ANOTHER,
    /** Tells the caller that the request did not run. */
    ANSWER_NOT_RUN,
    /** Passes the upstream's own failure on. */
    PASS_FAILURE,
    /** Tells the caller that the outcome is unknown. */
    ANSWER_UNKNOWN,
    /** Breaks the started answer off. */
    BREAK_OFF
}
