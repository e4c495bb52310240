package io.jayhead.routing.catalog;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * Maps the order of requests, which has as many places as there are pairs of priorities, to the few ranks that
 * upstreams know; immutable.
 *
 * <p>One priority of an organisation covers all its routes, so it alone would hide their priorities from the upstreams.
 */
public final class UpstreamRanks {

    /** The number of ranks that upstreams know, from 0, the most urgent. */
    private static final int RANKS = 10;

    private static final int MAX_PRIORITY = RANKS - 1;

    private final List<Integer> places;

    private UpstreamRanks(Collection<Integer> places) {
        this.places = List.copyOf(new TreeSet<>(places));
    }

    /**
     * Builds the ranks of a configuration.
     *
     * @param organisations the priorities of its organisations; empty ones stand for those without a priority
     * @param routes the priorities of its routes
     * @return the ranks
     */
    static UpstreamRanks of(Collection<OptionalInt> organisations, Collection<Integer> routes) {
        TreeSet<Integer> places = new TreeSet<>();
        for (int route : routes) {
            places.add(place(OptionalInt.empty(), route));
            organisations.forEach(organisation -> places.add(place(organisation, route)));
        }
        return new UpstreamRanks(places);
    }

    /**
     * Returns the place of a request in the order of its service: by the priority of the organisation, or of the route
     * if the organisation has none, and then by the priority of the route.
     *
     * @param organisation the priority of the organisation, from 0, the most urgent, to 9; empty if it has none
     * @param route the priority of the route, from 0 to 9
     * @return the place, from 0 to 99
     */
    public static int place(OptionalInt organisation, int route) {
        int first = bounded(organisation.orElse(route));
        return first * RANKS + bounded(route);
    }

    /**
     * Returns the rank of a place. Up to ten places of a configuration have ranks of their own; more share them.
     *
     * @param place the place
     * @return the rank, from 0, the most urgent, to 9
     */
    public int rankOf(int place) {
        int found = Collections.binarySearch(places, place);
        int index = found >= 0 ? found : Math.min(-found - 1, places.size() - 1);
        int shared = places.size() <= RANKS ? index : index * RANKS / places.size();
        return Math.max(0, shared);
    }

    private static int bounded(int priority) {
        return Math.max(0, Math.min(MAX_PRIORITY, priority));
    }
}
