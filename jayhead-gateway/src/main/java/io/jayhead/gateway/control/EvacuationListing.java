package io.jayhead.gateway.control;

import java.util.Set;

/**
 * The evacuations in force.
 *
 * @param zones the availability zones whose upstreams get no new requests
 */
public record EvacuationListing(Set<String> zones) {

    /** Makes an immutable copy of the set. */
    public EvacuationListing {
        zones = Set.copyOf(zones);
    }
}
