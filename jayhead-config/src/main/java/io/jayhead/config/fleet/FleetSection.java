package io.jayhead.config.fleet;

import java.util.Locale;

/** Lists the sections of a fleet text that are compared between versions, in the order of the text. */
public enum FleetSection {
    /** The fleet itself. */
    FLEET,
    /** The models with their weights and adapters. */
    MODELS,
    /** The upstreams. */
    UPSTREAMS,
    /** The services. */
    SERVICES,
    /** The organisations. */
    ORGANISATIONS,
    /** The budgets. */
    BUDGETS;

    /**
     * Returns the key of the section in the fleet text.
     *
     * @return the key
     */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
