package io.jayhead.scenarios.language;

import java.util.Locale;

/** Lists the kinds of processes of a scenario. */
public enum NodeKind {
    /** The platform stand-in. */
    PLATFORM,
    /** A model engine stand-in. */
    ENGINE,
    /** A booking service stand-in. */
    BOOKING,
    /** A router daemon. */
    ROUTER;

    /** Returns the word in scenario files, which is also the stand-in's subcommand. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
