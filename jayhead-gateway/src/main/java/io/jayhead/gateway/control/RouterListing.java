package io.jayhead.gateway.control;

import java.util.List;

/**
 * The routers that have announced themselves.
 *
 * @param routers the announced routers; in the answer to a watch, those that changed
 */
public record RouterListing(List<RouterAnnouncement> routers) {

    /** Makes an immutable copy of the list. */
    public RouterListing {
        routers = List.copyOf(routers);
    }
}
