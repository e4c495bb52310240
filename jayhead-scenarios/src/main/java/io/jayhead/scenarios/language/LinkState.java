package io.jayhead.scenarios.language;

/** Lists the states of the link from a connecting process to its target process. */
public enum LinkState {
    /** Forwards bytes in both directions without delay. */
    HEAL(false, false, 0),
    /** Resets open connections and resets each new one as soon as it is accepted. */
    CUT(false, false, 0),
    /** Keeps connections open and accepts new ones, but forwards nothing. */
    SILENCE(true, true, 0),
    /** Holds back bytes towards the target process. */
    SILENCE_REQUESTS(true, false, 0),
    /** Holds back bytes towards the connecting process. */
    SILENCE_ANSWERS(false, true, 0),
    /** Forwards bytes in both directions after a delay. */
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
     * Tells whether bytes of a direction are held back.
     *
     * @param towardsTarget true for bytes towards the target process, false for bytes towards the connecting process
     * @return whether the bytes wait until the state changes
     */
    public boolean holds(boolean towardsTarget) {
        return towardsTarget ? holdsRequests : holdsAnswers;
    }

    /**
     * Returns the delay of forwarded bytes.
     *
     * @return the delay in milliseconds, or 0 for none
     */
    public int delayMs() {
        return delayMs;
    }
}
