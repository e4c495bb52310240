package io.jayhead.load.experiment;

import java.util.Arrays;
import java.util.Locale;

/**
 * Lists the faults of experiments. Each is injected after the first third of the arrivals; temporary ones end after
 * the second.
 */
public enum Fault {
    /** Nothing fails. */
    CALM,
    /** One router is killed and not restarted. */
    ROUTER_KILLED,
    /** One router is suspended by {@code SIGSTOP} and continued by {@code SIGCONT}. */
    ROUTER_FROZEN,
    /** The platform answers requests with 503. */
    PLATFORM_OUTAGE,
    /** One router loses its links to the platform and to all other routers; its upstreams stay reachable. */
    PARTITION,
    /** One engine exits and is not restarted. */
    ENGINE_DIES;

    /**
     * Returns the fault with a command-line name.
     *
     * @param text the name, in lower case with hyphens
     * @return the fault
     * @throws IllegalArgumentException if no fault has this name
     */
    public static Fault parse(String text) {
        return Arrays.stream(values())
                .filter(fault -> fault.text().equals(text))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown fault: " + text));
    }

    /**
     * Returns the name on the command line.
     *
     * @return the name in lower case with hyphens
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
