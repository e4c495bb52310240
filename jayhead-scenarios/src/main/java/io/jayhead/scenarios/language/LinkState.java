package io.jayhead.scenarios.language;

/** Lists the states of a link between two processes. */
public enum LinkState {
    /** Forwards bytes. */
    HEAL(false, false, 0),
    /** Closes connections and refuses new ones. */
    CUT(false, false, 0),
    /** Keeps connections open and accepts new ones, but forwards nothing. */
    SILENCE(true, true, 0),
    /** Forwards nothing towards the process that was connected to. */
    SILENCE_REQUESTS(true, false, 0),
    /** Forwards nothing towards the process that connected. */
    SILENCE_ANSWERS(false, true, 0),
    /** Forwards bytes late. */
    DELAY(false, false, 150);

    private final boolean holdsRequests;
    private final boolean holdsAnswers;
    private final int delayMs;

    LinkState(boolean holdsRequests, boolean holdsAnswers, int delayMs) {
        this.holdsRequests = holdsRequests;
        this.holdsAnswers = holdsAnswers;
        this.delayMs = delayMs;
    }

    /**
     * Tells whether bytes are held back.
     *
     * @param towardsTarget true for bytes towards the process that was connected to
     * @return whether they wait until the state changes
     */
    public boolean holds(boolean towardsTarget) {
        return towardsTarget ? holdsRequests : holdsAnswers;
    }

    /**
     * Returns by how much bytes are late.
     *
     * @return the delay in milliseconds
     */
    public int delayMs() {
        return delayMs;
    }
}
