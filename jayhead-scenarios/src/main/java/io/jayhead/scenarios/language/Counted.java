package io.jayhead.scenarios.language;

import java.util.Locale;

/** Lists the quantities that scenarios count. */
public enum Counted {
    /** Executions of a booking at the booking services, by order. */
    EXECUTIONS,
    /** Charges in the charge log without duplicates of the same partition, by idempotency key. */
    BILLS,
    /** Runs at one engine, by its name, or at all engines, by idempotency key. */
    RUNS;

    /** Returns the word in scenario files. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
