package io.jayhead.routing.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests that are processed in a region in which their route or organisation forbids it. */
class AllowedRegionsTest {

    private static final Optional<String> NORTH = Optional.of("north");
    private static final Optional<String> SOUTH = Optional.of("south");
    private static final Optional<String> UNKNOWN = Optional.empty();

    @Test
    void withoutARestrictionAllRegionsAreAllowedAlsoUnknownOnes() {
        assertTrue(AllowedRegions.all().allow(NORTH));
        assertTrue(AllowedRegions.all().allow(UNKNOWN));
    }

    @Test
    void aRestrictionAllowsNeitherOtherNorUnknownRegions() {
        AllowedRegions north = AllowedRegions.of(Set.of("north"));
        assertTrue(north.allow(NORTH));
        assertFalse(north.allow(SOUTH));
        assertFalse(north.allow(UNKNOWN));
    }

    @Test
    void twoRestrictionsBothApply() {
        AllowedRegions both = AllowedRegions.of(Set.of("north", "south")).and(AllowedRegions.of(Set.of("south")));
        assertFalse(both.allow(NORTH));
        assertTrue(both.allow(SOUTH));
        AllowedRegions none = AllowedRegions.of(Set.of("north")).and(AllowedRegions.of(Set.of("south")));
        assertFalse(none.allow(NORTH) || none.allow(SOUTH));
    }

    @Test
    void aRestrictionAppliesAlsoIfTheOtherSideHasNone() {
        AllowedRegions north = AllowedRegions.of(Set.of("north"));
        assertEquals(north, north.and(AllowedRegions.all()));
        assertEquals(north, AllowedRegions.all().and(north));
        assertEquals(AllowedRegions.all(), AllowedRegions.all().and(AllowedRegions.all()));
    }
}
