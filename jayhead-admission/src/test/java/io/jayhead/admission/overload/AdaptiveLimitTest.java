package io.jayhead.admission.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against work that is lost to queues when more requests arrive than a service can serve, and against refusals
 * while it can serve all.
 *
 * <p>Replays one to four times the load that the service can serve, at the sizes of a small and a large fleet.
 */
class AdaptiveLimitTest {

    private static final int[] FLEET_SIZES = {1, 8, 40, 160};
    /** The share of the ideal that must be served in time under overload. */
    private static final double GOODPUT_SHARE = 0.8;

    private static final LimitUsage USAGE = new LimitUsage(10, 0, 0);

    @Test
    void goodputStaysLevelFromOnceToFourTimesTheCapacity() {
        for (int routers : FLEET_SIZES) {
            for (double load : new double[] {1, 1.5, 2, 3, 4}) {
                OverloadSimulation limited = new OverloadSimulation(routers, true, load);
                double goodput = limited.run();
                System.out.printf("%d routers, load %.1f: goodput %.2f of the capacity%n", routers, load, goodput);
                assertTrue(goodput >= GOODPUT_SHARE, routers + " routers, load " + load + ": " + goodput);
            }
        }
    }

    @Test
    void withoutTheLimitNearlyAllWorkIsLostAtTwiceTheCapacity() {
        assertTrue(new OverloadSimulation(8, false, 2).run() < 0.1);
    }

    @Test
    void nothingIsRefusedWhileTheServiceKeepsUp() {
        OverloadSimulation limited = new OverloadSimulation(8, true, 0.7);
        limited.run();
        assertEquals(0, limited.refused());
    }

    @Test
    void oneSlowAnswerDoesNotLowerTheLimit() {
        AdaptiveLimit limit = AdaptiveLimit.none();
        for (int index = 0; index < 20; index++) {
            limit = limit.answered(answer(100, 400), USAGE, index * 10L);
        }
        limit = limit.answered(answer(30_000, 400), USAGE, 40_000);
        assertTrue(limit.admits(1_000, 0.5));
    }

    @Test
    void aRouteWithoutAnObjectiveIsNotLimited() {
        AdaptiveLimit limit = AdaptiveLimit.none();
        for (int index = 0; index < 50; index++) {
            limit = limit.answered(answer(9_000, 0), USAGE, index * 10_000L);
        }
        assertTrue(limit.admits(1_000, 0.5));
    }

    @Test
    void fastAnswersOfOneRouteDoNotHideTheLateOnesOfAnother() {
        AdaptiveLimit limit = AdaptiveLimit.none();
        for (int index = 0; index < 20; index++) {
            limit = limit.answered(new TimedAnswer("labels", 40, 400, true), USAGE, index * 1_000L);
            limit = limit.answered(new TimedAnswer("chat", 400, 250, true), USAGE, index * 1_000L + 500);
        }
        assertTrue(limit.isLimited());
    }

    @Test
    void lateAnswersOfLessUrgentRequestsLeaveThePlacesOfMoreUrgentOnes() {
        AdaptiveLimit limit = AdaptiveLimit.none();
        LimitUsage usage = new LimitUsage(10, 6, 0);
        for (int index = 0; index < 100; index++) {
            limit = limit.answered(new TimedAnswer("reports", 4_000, 1_000, true), usage, index * 5_000L);
        }
        assertTrue(limit.requests() >= 6, "limit " + limit.requests());
        assertTrue(limit.requests() < 10, "limit " + limit.requests());
    }

    @Test
    void requestsThatAreNeverAnsweredDoNotLowerTheLimit() {
        AdaptiveLimit limit = AdaptiveLimit.none();
        for (int index = 0; index < 20; index++) {
            limit = limit.answered(new TimedAnswer("route", 5_000, 400, false), USAGE, index * 10_000L);
        }
        assertTrue(limit.admits(1_000, 0.5));
    }

    private static TimedAnswer answer(double answerMs, int objectiveMs) {
        return new TimedAnswer("route", answerMs, objectiveMs, true);
    }
}
