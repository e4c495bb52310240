package io.jayhead.admission.prepaid;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Guards against waiting requests that are not covered although tokens are left, and against prefetching so many tokens
 * that killed routers strand a large part of a budget.
 */
class GrantRuleTest {

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
}
