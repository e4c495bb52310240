package io.jayhead.routing.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against prompt parts that are expected where they no longer are, and against unbounded memory for them. */
class PartHoldersTest {

    private final PartHolders holders = new PartHolders();

    @Test
    void theEnginesOfRecentRequestsHoldThePart() {
        holders.sent("p", "a@0", 0);
        holders.sent("p", "b@0", 4_000);
        holders.sent("q", "c@0", 4_000);
        assertEquals(Set.of("a@0", "b@0"), holders.holders("p", 4_500));
        assertEquals(Set.of("b@0"), holders.holders("p", 6_000));
        assertEquals(Set.of(), holders.holders("p", 10_000));
    }

    @Test
    void requestsWithoutSharedPartsAreNotKept() {
        holders.sent("", "a@0", 0);
        assertEquals(Set.of(), holders.holders("", 0));
    }

    @Test
    void thePartsUsedLongestAgoAreDropped() {
        for (int part = 0; part <= 1_000; part++) {
            holders.sent("p" + part, "a@0", part);
        }
        assertEquals(Set.of(), holders.holders("p0", 1_000));
        assertEquals(Set.of("a@0"), holders.holders("p1", 1_000));
    }
}
