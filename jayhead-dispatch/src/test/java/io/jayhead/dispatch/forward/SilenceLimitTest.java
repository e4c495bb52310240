package io.jayhead.dispatch.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against slow but sound answers that are given up, and against limits that hold for one deployment only. */
class SilenceLimitTest {

    @Test
    void anAnswerWithinItsObjectiveIsNeverGivenUp() {
        for (int objectiveMs : new int[] {20, 121, 390, 4_000}) {
            assertTrue(SilenceLimit.callMs(objectiveMs, 0) > objectiveMs);
            assertTrue(SilenceLimit.firstEventMs(objectiveMs, 0) > objectiveMs);
            assertTrue(SilenceLimit.eventGapMs(objectiveMs) > objectiveMs);
        }
    }

    @Test
    void aServiceThatIsSlowAsAWholeRaisesTheLimits() {
        assertEquals(1_500, SilenceLimit.callMs(121, 500));
        assertEquals(6_000, SilenceLimit.firstEventMs(500, 2_000));
    }

    @Test
    void fastAnswersDoNotLowerTheLimitsBelowTheObjective() {
        assertEquals(SilenceLimit.callMs(390, 0), SilenceLimit.callMs(390, 5));
    }

    @Test
    void aRouteWithoutObjectivesHasLimits() {
        assertTrue(SilenceLimit.callMs(0, 0) > 0);
        assertTrue(SilenceLimit.eventGapMs(0) > 0);
    }
}
