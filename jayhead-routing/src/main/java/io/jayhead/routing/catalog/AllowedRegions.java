package io.jayhead.routing.catalog;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which requests may be processed; immutable.
 *
 * @param regions the names of the regions; empty if all are allowed
 */
public record AllowedRegions(Optional<Set<String>> regions) {

    private static final AllowedRegions ALL = new AllowedRegions(Optional.empty());

    /** Makes an immutable copy of the set. */
    public AllowedRegions {
        regions = regions.map(Set::copyOf);
    }

    /**
     * Returns an instance without a restriction.
     *
     * @return an instance that allows all regions, also unknown ones
     */
    public static AllowedRegions all() {
        return ALL;
    }

    /**
     * Returns an instance that allows some regions only.
     *
     * @param regions the names of the regions; none is allowed if there are none
     * @return the instance
     */
    public static AllowedRegions of(Set<String> regions) {
        return new AllowedRegions(Optional.of(regions));
    }

    /**
     * Tells whether requests may be processed in a region.
     *
     * @param region the name of the region; empty if unknown
     * @return true if it is allowed
     */
    public boolean allow(Optional<String> region) {
        return regions.isEmpty() || region.filter(regions.get()::contains).isPresent();
    }

    /**
     * Combines two restrictions.
     *
     * @param other the other restriction
     * @return an instance that allows the regions that both allow
     */
    public AllowedRegions and(AllowedRegions other) {
        if (regions.isEmpty()) {
            return other;
        }
        if (other.regions.isEmpty()) {
            return this;
        }
        Set<String> both = new HashSet<>(regions.get());
        both.retainAll(other.regions.get());
        return of(both);
    }
}
