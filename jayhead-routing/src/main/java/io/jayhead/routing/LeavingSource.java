package io.jayhead.routing;

import java.util.Locale;

/** Names the sources that can say that an upstream is leaving. */
public enum LeavingSource {
    /** The upstream's own load report. */
    REPORT,
    /** The fleet text of the operators. */
    FLEET_TEXT,
    /** The platform's list of VMs. */
    VM_LIST,
    /** Another router. */
    PEER;

    /**
     * Returns the name for log lines and operators.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
