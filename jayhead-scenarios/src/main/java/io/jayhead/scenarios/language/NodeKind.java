package io.jayhead.scenarios.language;

import java.util.Locale;

/** Lists the kinds of processes in a scenario. */
public enum NodeKind {
    /** The platform stand-in. */
    PLATFORM,
    /** A model engine stand-in. */
    ENGINE,
    /** A booking service stand-in. */
    BOOKING,
    /** A router daemon. */
    ROUTER;

    /** Returns the word in scenario files, which is also the subcommand that starts the stand-in. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
