package io.jayhead.scenarios.language;

import java.util.Locale;

/** Lists what scenarios count. */
public enum Counted {
    /** Executions of a booking, by order. */
    EXECUTIONS,
    /** First charges of a request, by idempotency key. */
    BILLS,
    /** Runs at an engine, by its name. */
    RUNS;

    /** Returns the word in scenario files. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
