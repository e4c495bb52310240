package io.jayhead.daemon.fleet;

import io.jayhead.model.fleet.FleetSpec;

/**
 * Holds the configuration in force: an immutable snapshot that any thread may read.
 *
 * @param document the fleet document with version and text
 * @param spec the parsed fleet text
 */
public record FleetView(FleetDocument document, FleetSpec spec) {

    /**
     * Returns the configuration before the first adoption.
     *
     * @return version 0 with an empty fleet
     */
    public static FleetView empty() {
        return new FleetView(FleetDocument.empty(), FleetSpec.empty());
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version, 0 before the first adoption
     */
    public long version() {
        return document.version();
    }
}
