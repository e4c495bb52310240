package io.jayhead.dispatch.forward;

/** Describes how an attempt ended that did not yield an answer for the caller. */
public enum AttemptOutcome {
    /** The request was not sent. */
    NOT_SENT(true),
    /** The upstream rejected the request without running it. */
    REJECTED(true),
    /** The upstream answered with an error and may have run the request. */
    FAILED(false),
    /** The request was sent, but no complete answer arrived. */
    UNKNOWN(false);

    private final boolean notRun;

    AttemptOutcome(boolean notRun) {
        this.notRun = notRun;
    }

    /**
     * Tells whether the attempt certainly did not run.
     *
     * @return true if the upstream has not run the request; false if it may have
     */
    public boolean isNotRun() {
        return notRun;
    }
}
