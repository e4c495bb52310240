package io.jayhead.admission.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against a saturated link while other routers are idle, and against shedding connections at short bursts.
 *
 * <p>The link saturates when the connections of a few heavy callers all end at one router.
 */
class LinkPressureTest {

    private static final int STEP_MS = 250;
    private static final double CONNECTION_SHARE = 0.05;

    @Test
    void heavyCallersKeepOnlyAsManyConnectionsAsTheLinkCarries() {
        Random random = new Random(1);
        LinkPressure pressure = LinkPressure.none();
        int connections = 24;
        for (long nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
            double burst = 0.8 + 0.4 * random.nextDouble();
            pressure = pressure.measured(connections * CONNECTION_SHARE * burst, nowMs);
            connections -= pressure.closesConnections() ? 1 : 0;
        }
        assertTrue(connections <= 11, "left " + connections);
        assertTrue(connections >= 6, "left " + connections);
    }

    @Test
    void aShortBurstDoesNotTurnCallersAway() {
        LinkPressure pressure = LinkPressure.none().measured(0.2, 0).measured(0.9, STEP_MS);
        assertTrue(pressure.takesConnections());
        assertFalse(pressure.closesConnections());
    }

    @Test
    void readinessDoesNotFollowEveryPause() {
        LinkPressure pressure = LinkPressure.none();
        for (long nowMs = 0; nowMs < 1_000; nowMs += STEP_MS) {
            pressure = pressure.measured(0.9, nowMs);
        }
        for (long nowMs = 1_000; nowMs < 3_000; nowMs += STEP_MS) {
            pressure = pressure.measured(0, nowMs);
            assertFalse(pressure.takesConnections());
        }
        assertFalse(pressure.closesConnections());
        assertTrue(pressure.measured(0, 5_000).takesConnections());
    }
}
