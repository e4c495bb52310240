package io.jayhead.load.experiment;

import java.util.Arrays;
import java.util.Locale;

/** Lists the faults of experiments; each strikes during the middle third of the arrivals. */
public enum Fault {
    /** Nothing fails. */
    CALM,
    /** One router is killed and stays away. */
    ROUTER_KILLED,
    /** One router is stopped by a signal and continued later. */
    ROUTER_FROZEN,
    /** The platform answers 503. */
    PLATFORM_OUTAGE,
    /** One router loses its links to the platform and to all other routers; its upstreams stay reachable. */
    PARTITION,
    /** One engine exits. */
    ENGINE_DIES;

    /**
     * Finds a fault by its name on the command line.
     *
     * @param text the name
     * @return the fault
     * @throws IllegalArgumentException if there is none
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
     * @return the name
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
