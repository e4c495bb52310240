package io.jayhead.dispatch.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Replays outages of different lengths in which callers are refused once and come back once. */
class ReturnTimeTest {

    private static final int FIXED_MS = 300;

    @Test
    void mostCallersThatWereRefusedLateInAnOutageComeBackAfterItsEnd() {
        int afterEnd = 0;
        int fixedAfterEnd = 0;
        for (long outageMs = 3_000; outageMs <= 9_000; outageMs += 1_000) {
            for (long refusedAtMs = outageMs / 2; refusedAtMs < outageMs; refusedAtMs += 100) {
                afterEnd += refusedAtMs + ReturnTime.afterOutageMs(refusedAtMs) >= outageMs ? 1 : 0;
                fixedAfterEnd += refusedAtMs + FIXED_MS >= outageMs ? 1 : 0;
            }
        }
        assertTrue(afterEnd > 3 * fixedAfterEnd, afterEnd + " against " + fixedAfterEnd);
    }

    @Test
    void aShortInterruptionAsksForAShortWait() {
        assertEquals(400, ReturnTime.afterOutageMs(0));
        assertEquals(5_000, ReturnTime.afterOutageMs(60_000));
    }
}
