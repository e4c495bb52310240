package io.jayhead.gateway.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against refusals at one busy router while another one has borrowed tokens left, and against messages to all
 * routers of a large fleet in an outage.
 */
class ReferralsTest {

    private final RecentBorrowers borrowers = new RecentBorrowers();

    @Test
    void aHolderNamesTheRoutersThatHaveBorrowedMost() {
        borrowers.lent("front-1", 10_000);
        borrowers.lent("front-2", 80_000);
        borrowers.lent("front-3", 40_000);
        borrowers.lent("front-4", 20_000);
        assertEquals(List.of("front-2", "front-3"), borrowers.largestExcept("front-9"));
        assertEquals(List.of("front-3", "front-4"), borrowers.largestExcept("front-2"));
    }

    @Test
    void aRouterThatGotNothingIsNotNamed() {
        borrowers.lent("front-1", 0);
        assertEquals(List.of(), borrowers.largestExcept("front-9"));
    }

    @Test
    void onlyRoutersThatWereNotAskedAreFollowedAndOnlyOnce() {
        Referrals referrals = new Referrals("front-1");
        referrals.asked("front-2");
        referrals.named(List.of("front-1", "front-2", "front-3"));
        referrals.named(List.of("front-4", "front-3", "front-5"));
        assertEquals(List.of("front-3", "front-4"), referrals.take());
        referrals.named(List.of("front-6"));
        assertEquals(List.of(), referrals.take());
    }
}
