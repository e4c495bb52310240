package io.jayhead.platform;

import java.util.Locale;

/** Distinguishes the kinds of calls to the platform. */
public enum CallKind {
    /** A read of one object. */
    READ,
    /** A conditional create. */
    CREATE,
    /** A conditional update. */
    UPDATE,
    /** A conditional delete. */
    DELETE,
    /** One page of a list. */
    LIST,
    /** A watch, which waits for changes. */
    WATCH,
    /** A read of the VM list. */
    VMS;

    /**
     * Returns the label used in metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
