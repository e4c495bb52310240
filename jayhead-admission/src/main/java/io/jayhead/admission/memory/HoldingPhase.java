package io.jayhead.admission.memory;

/** What the memory of a connection waits for, which decides how early it is given up. */
public enum HoldingPhase {
    /** A request is being received, or waits behind another one: nothing has run yet. */
    RECEIVING(true),
    /** The answer to a request is being made. */
    RUNNING(false),
    /** An answer waits for the caller to read it. */
    DELIVERING(true);

    private final boolean waitsForCaller;

    HoldingPhase(boolean waitsForCaller) {
        this.waitsForCaller = waitsForCaller;
    }

    /**
     * Tells whether the caller alone decides how long the memory is held.
     *
     * @return true if the caller has to send or to read
     */
    public boolean waitsForCaller() {
        return waitsForCaller;
    }
}
