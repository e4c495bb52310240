package io.jayhead.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against changes of upstreams that are collected for longer than an upstream takes to leave. */
class ControlTimesTest {

    @Test
    void largerFleetsCollectChangesForLonger() {
        ControlTimes times = new ControlTimes(1_200, 4_000, 3_000);
        assertEquals(400, times.registryPauseMs(7));
        assertEquals(600, times.registryPauseMs(40));
        assertEquals(1_000, times.registryPauseMs(330));
    }

    @Test
    void changesAreTakenInForceWithinHalfOfTheTimeToDrain() {
        for (long drainMs : new long[] {300, 900, 1_500, 2_000}) {
            ControlTimes times = new ControlTimes(1_200, 4_000, drainMs);
            assertTrue(times.registryPauseMs(330) * 2L <= drainMs, "time to drain " + drainMs);
        }
    }

    @Test
    void aTimeThatIsNotPositiveIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new ControlTimes(1_200, 4_000, 0));
    }
}
