package io.jayhead.load.baseline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.load.plan.Mix;
import io.jayhead.load.plan.PlanSettings;
import java.util.List;
import org.junit.jupiter.api.Test;

class BaselineComparisonTest {

    private static List<PolicyResult> run() {
        return BaselineComparison.run(new PlanSettings(Mix.USER1, 10, 60, 2, 7, 0));
    }

    /** Guards against a comparison that depends on anything but its settings, so that it cannot be repeated. */
    @Test
    void theSameSeedGivesTheSameFigures() {
        assertEquals(BaselineComparison.table(run()), BaselineComparison.table(run()));
    }

    /**
     * Guards against policies that spend unpaid tokens, and against refusals that returned tokens would have avoided.
     */
    @Test
    void noPolicyOverspendsAndReturnsAvoidFalseRefusals() {
        for (PolicyResult result : run()) {
            assertEquals(0, result.overspendTokens(), result.toString());
            assertTrue(result.consumedTokens() > 0, result.toString());
            if (result.policy() == BudgetPolicy.ESCROW_WITH_RETURNS) {
                assertEquals(0, result.falseRefusals(), result.toString());
            }
        }
    }
}
