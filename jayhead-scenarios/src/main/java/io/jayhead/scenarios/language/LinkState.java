package io.jayhead.scenarios.language;

/** Lists the states of a link between two processes. */
public enum LinkState {
    /** Forwards bytes. */
    HEAL,
    /** Closes connections and refuses new ones. */
    CUT,
    /** Keeps connections open and accepts new ones, but forwards nothing. */
    SILENCE
}
