package io.jayhead.dispatch.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against callers that retry before the end of an outage and thereby use up their only retry. This happens if
 * the wait does not grow with the age of the outage. The test simulates outages of different lengths.
 */
class RetryDelayTest {

    private static final int FIXED_WAIT_MS = 300;

    @Test
    void mostCallersThatWereRefusedLateInAnOutageComeBackAfterItsEnd() {
        int afterEnd = 0;
        int fixedWaitAfterEnd = 0;
        for (long outageMs = 3_000; outageMs <= 9_000; outageMs += 1_000) {
            for (long refusedAtMs = outageMs / 2; refusedAtMs < outageMs; refusedAtMs += 100) {
                afterEnd += refusedAtMs + RetryDelay.forOutageMs(refusedAtMs) >= outageMs ? 1 : 0;
                fixedWaitAfterEnd += refusedAtMs + FIXED_WAIT_MS >= outageMs ? 1 : 0;
            }
        }
        assertTrue(afterEnd > 3 * fixedWaitAfterEnd, afterEnd + " against " + fixedWaitAfterEnd);
    }

    @Test
    void aShortInterruptionAsksForAShortWait() {
        assertEquals(400, RetryDelay.forOutageMs(0));
        assertEquals(5_000, RetryDelay.forOutageMs(60_000));
    }

    @Test
    void aCallerIsAskedToReturnWhenRoomIsExpectedButWithinTheTimeThatItHas() {
        assertEquals(2_000, RetryDelay.forRoomMs(0, 2_000, 10_000, 100));
        assertEquals(1_300, RetryDelay.forRoomMs(0, 2_000, 5_000, 100));
    }

    @Test
    void aCallerThatCannotBeAnsweredAfterItsReturnIsNotAskedToReturn() {
        assertEquals(0, RetryDelay.forRoomMs(0, 2_000, 500, 400));
    }
}
