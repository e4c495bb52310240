package io.jayhead.routing;

import java.util.Locale;

/** Distinguishes the sources that can mark an upstream as leaving. */
public enum LeavingSource {
    /** The upstream's own load report. */
    REPORT,
    /** The fleet text of the operators. */
    FLEET_TEXT,
    /** The platform's list of VMs. */
    VM_LIST,
    /** A peer, which is another router. */
    PEER;

    /**
     * Returns the name for log lines and operators.
     *
     * @return the name in lower case, with spaces between words
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
