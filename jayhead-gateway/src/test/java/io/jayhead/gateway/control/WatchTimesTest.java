package io.jayhead.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against watches that wait longer than a lost connection may go unnoticed in a deployment. */
class WatchTimesTest {

    @ParameterizedTest
    @CsvSource({"3000, 0", "3000, 400", "4000, 1000", "5000, 1000", "20000, 1000"})
    void aWatchEndsInTimeForAReading(long reconnectMs, int pauseMs) {
        int waitMs = new WatchTimes(reconnectMs).waitMs(pauseMs);
        assertTrue(pauseMs + waitMs + PlatformClient.WATCH_MARGIN_MS < reconnectMs, "waits for " + waitMs);
        assertTrue(waitMs >= reconnectMs / 3, "waits for " + waitMs + " only");
    }

    @Test
    void aWatchWhoseChangesMayBeNoticedLaterWaitsLonger() {
        WatchTimes times = new WatchTimes(3_000);
        assertTrue(times.relaxedWaitMs(50) > 2 * times.waitMs(50));
    }

    @Test
    void theWaitStaysWithinWhatThePlatformGrantsAndAbovePausesWithoutAWatch() {
        assertEquals(29_000, new WatchTimes(60_000).waitMs(0));
        assertEquals(500, new WatchTimes(1_000).waitMs(1_000));
    }
}
