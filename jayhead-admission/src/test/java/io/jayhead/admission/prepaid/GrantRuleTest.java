package io.jayhead.admission.prepaid;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class GrantRuleTest {

    @Test
    void aWaitingRequestIsCoveredFromAllThatIsLeft() {
        assertEquals(900, GrantRule.tokensToTake(new BudgetNeed(900, 5_000, 0), 1_000, 6));
    }

    @Test
    void tokensTakenAheadLeaveAShareForEachOtherRouter() {
        assertEquals(500, GrantRule.tokensToTake(new BudgetNeed(0, 5_000, 0), 6_000, 6));
    }

    @Test
    void nothingIsTakenFromAnOverdrawnBudget() {
        assertEquals(0, GrantRule.tokensToTake(new BudgetNeed(100, 100, 0), -5, 2));
    }
}
