package io.jayhead.gateway.control;

import java.util.List;

/**
 * The routers that have announced themselves.
 *
 * @param routers the routers
 */
public record RouterListing(List<RouterAddress> routers) {

    /** Copies the list. */
    public RouterListing {
        routers = List.copyOf(routers);
    }
}
