package io.jayhead.gateway.control;

import java.util.List;

/**
 * All recorded parts of prompts under which upstreams ended.
 *
 * @param records the records, one for each part
 */
public record CrashListing(List<StoredCrashes> records) {

    /** Makes an immutable copy of the list. */
    public CrashListing {
        records = List.copyOf(records);
    }
}
