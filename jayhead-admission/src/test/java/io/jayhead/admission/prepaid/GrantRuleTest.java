package io.jayhead.admission.prepaid;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against waiting requests that are not covered although tokens are left, and against prefetching so many tokens
 * that killed routers strand a large part of a budget.
 */
class GrantRuleTest {

    private static final Set<String> HOLDERS = Set.of("front-1", "front-2");

    @Test
    void aWaitingRequestIsCoveredFromAllThatIsLeft() {
        assertEquals(
                900, GrantRule.tokensToTake(new BudgetNeed(900, 0, 10, 0), 1_000, 1_000, GrantRule.MAX_PREFETCH_S));
    }

    @Test
    void aRouterTakesAheadForAnOutageWhileTheBudgetIsLarge() {
        assertEquals(
                1_200, GrantRule.tokensToTake(new BudgetNeed(0, 0, 100, 0), 1_000_000, 500, GrantRule.MAX_PREFETCH_S));
        assertEquals(
                1_000,
                GrantRule.tokensToTake(new BudgetNeed(0, 200, 100, 0), 1_000_000, 500, GrantRule.MAX_PREFETCH_S));
    }

    @Test
    void routersTogetherHoldHalfOfWhatIsLeftSoThatAKillOfAllStrandsNoMore() {
        long first = GrantRule.tokensToTake(new BudgetNeed(0, 0, 100, 0), 6_000, 500, GrantRule.MAX_PREFETCH_S);
        assertEquals(500, first);
        assertEquals(0, GrantRule.tokensToTake(new BudgetNeed(0, first, 100, 0), 6_000, 500, GrantRule.MAX_PREFETCH_S));
    }

    @Test
    void littleIsHeldAheadSoonAfterAnOutageBecauseRestartsOftenFollow() {
        assertEquals(
                200, GrantRule.tokensToTake(new BudgetNeed(0, 0, 100, 0), 1_000_000, 500, GrantRule.prefetchLimitS(1)));
        assertEquals(GrantRule.MAX_PREFETCH_S, GrantRule.prefetchLimitS(60));
    }

    @Test
    void nothingIsTakenFromAnOverdrawnBudget() {
        assertEquals(0, GrantRule.tokensToTake(new BudgetNeed(100, 0, 0, 0), -5, 2, GrantRule.MAX_PREFETCH_S));
    }

    @Test
    void aHolderInALargeFleetKeepsWhatRequestsConsumeAndNotAllThatTheyReserve() {
        BudgetNeed need = new BudgetNeed(0, 0, 1_000, 300, HOLDERS, 0);
        assertEquals((300 + 500) * 12, GrantRule.tokensToTake(need, 1_000_000, 500, GrantRule.MAX_PREFETCH_S));
        assertEquals(1_600, GrantRule.tokensToTake(need, 1_000_000, 500, GrantRule.prefetchLimitS(1)));
    }

    @Test
    void aRouterOfASmallFleetHoldsAllThatItsRequestsReserve() {
        BudgetNeed need = new BudgetNeed(0, 0, 1_000, 300, Set.of(), 0);
        assertEquals(12_000, GrantRule.tokensToTake(need, 1_000_000, 500, GrantRule.MAX_PREFETCH_S));
    }

    @Test
    void aRouterHoldsASecondOfDemandBeforeAnyRequestHasEnded() {
        BudgetNeed need = new BudgetNeed(0, 0, 1_000, 0, HOLDERS, 0);
        assertEquals(1_000, GrantRule.tokensToTake(need, 1_000_000, 500, GrantRule.prefetchLimitS(0)));
    }

    @Test
    void aRouterThatIsNoHolderTakesOnlyWhatItsRequestsRequire() {
        LedgerSession session = sessionThatHasRead("front-9");
        BudgetNeed need = new BudgetNeed(700, 0, 1_000, 1_000, HOLDERS, 0);
        assertEquals(700, taken(session, need));
    }

    @Test
    void routersThatAreNoHoldersDoNotLowerWhatHoldersPrefetch() {
        LedgerSession session = sessionThatHasRead("front-1");
        BudgetNeed need = new BudgetNeed(0, 0, 1_000, 1_000, HOLDERS, 0);
        assertEquals(6_000, taken(session, need));
        assertEquals(1_000, taken(session, need.withHolderVms(Set.of())));
    }

    /** Returns a session that has read a page on which another router has left a demand of 5,000 tokens a second. */
    private static LedgerSession sessionThatHasRead(String vmName) {
        LedgerPage page = LedgerPage.empty().with("shop", "front-5/1/a", new LedgerEntry(0, 5_000));
        return LedgerSession.of(new Holder(vmName, 1, "a")).withPage(new VersionedPage(page, 1));
    }

    private static long taken(LedgerSession session, BudgetNeed need) {
        LedgerPage page = session.nextUpdate(
                        Map.of("shop", need), organisation -> OptionalLong.of(12_000), GrantRule.MAX_PREFETCH_S)
                .orElseThrow()
                .page();
        return page.takenTokens("shop", session.holder().name());
    }
}
