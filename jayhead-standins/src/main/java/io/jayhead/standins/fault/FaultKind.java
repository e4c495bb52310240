package io.jayhead.standins.fault;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/** Lists what a stand-in can be told to do wrong. */
public enum FaultKind {
    /** Answers 503. */
    OUTAGE,
    /** Delays each request. */
    SLOW,
    /** Performs writes and closes the connection without an answer. */
    DROP_REPLY,
    /** Accepts connections but answers nothing. */
    FREEZE,
    /** Leaves open connections without reads, writes and close. */
    SILENT,
    /** Ends the process. */
    DIE,
    /** Refuses new work. */
    DRAINING,
    /** Loses cache events. */
    CACHE_GAP,
    /** Ends all faults, except that silent connections stay silent. */
    CLEAR;

    /**
     * Finds a fault by its name in the protocol.
     *
     * @param text the name, in lower case
     * @return the fault
     * @throws IllegalArgumentException if there is none
     */
    public static FaultKind of(String text) {
        return Arrays.stream(values())
                .filter(kind -> kind.text().equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown fault: " + text));
    }

    /** Returns the name in the protocol. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the faults that every stand-in has, and some more.
     *
     * @param more the additional faults
     * @return all of them
     */
    public static Set<FaultKind> commonAnd(FaultKind... more) {
        Set<FaultKind> kinds = EnumSet.of(OUTAGE, SLOW, DROP_REPLY, FREEZE, SILENT, DIE, CLEAR);
        kinds.addAll(Arrays.asList(more));
        return kinds;
    }
}
