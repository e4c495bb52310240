package io.jayhead.standins.fault;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/** Lists the faults that tests can inject into a stand-in. */
public enum FaultKind {
    /** Responds 503 to each request without handling it. */
    OUTAGE,
    /** Handles each request after a delay. */
    SLOW,
    /** Executes a write and closes the connection without a response. */
    DROP_REPLY,
    /** Accepts connections but sends no response until the fault ends. */
    FREEZE,
    /**
     * Neither reads from, writes to nor closes the connections that are open when the fault is injected. New
     * connections work.
     */
    SILENT,
    /** Ends the process. */
    DIE,
    /** Refuses new work with 503 and reports the stand-in as draining. */
    DRAINING,
    /** Drops cache events, which leaves gaps in their sequence numbers. */
    CACHE_GAP,
    /** Ends all faults, except that silent connections stay silent. */
    CLEAR;

    /**
     * Finds a fault by its name in the body of a fault request.
     *
     * @param text the name, in lower case
     * @return the fault
     * @throws IllegalArgumentException if no fault has this name
     */
    public static FaultKind of(String text) {
        return Arrays.stream(values())
                .filter(kind -> kind.text().equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown fault: " + text));
    }

    /** Returns the name in the body of a fault request. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the faults that every stand-in supports together with additional ones.
     *
     * @param more the additional faults
     * @return the common and the additional faults
     */
    public static Set<FaultKind> commonAnd(FaultKind... more) {
        Set<FaultKind> kinds = EnumSet.of(OUTAGE, SLOW, DROP_REPLY, FREEZE, SILENT, DIE, CLEAR);
        kinds.addAll(Arrays.asList(more));
        return kinds;
    }
}
