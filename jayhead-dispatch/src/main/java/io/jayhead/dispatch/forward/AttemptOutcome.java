package io.jayhead.dispatch.forward;

/** How an attempt ended that brought no answer for the caller. */
public enum AttemptOutcome {
    /** The request was not sent. */
    NOT_SENT(true),
    /** The upstream said that it did not run the request. */
    REJECTED(true),
    /** The upstream answered with a failure of its own. */
    FAILED(false),
    /** The request was sent and there is no whole answer. */
    UNKNOWN(false);

    private final boolean notRun;

    AttemptOutcome(boolean notRun) {
        this.notRun = notRun;
    }

    /**
     * Tells whether it is certain that the attempt did not run.
     *
     * @return true if it did not run
     */
    public boolean isNotRun() {
        return notRun;
    }
}
