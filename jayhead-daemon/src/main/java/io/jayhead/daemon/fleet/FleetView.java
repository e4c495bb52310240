package io.jayhead.daemon.fleet;

import io.jayhead.model.fleet.FleetSpec;

/**
 * The configuration in force, as traffic threads read it.
 *
 * @param document the version and its text
 * @param spec the parsed text
 */
public record FleetView(FleetDocument document, FleetSpec spec) {

    /**
     * Returns the view before any configuration was adopted.
     *
     * @return version 0 with an empty fleet
     */
    public static FleetView empty() {
        return new FleetView(FleetDocument.empty(), FleetSpec.empty());
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return document.version();
    }
}
