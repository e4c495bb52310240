package io.jayhead.routing.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against an upstream that is avoided for seconds because its machine was slow for a moment, and against one
 * whose machine stays slow being taken for a fast one.
 */
class SlowdownForecastTest {

    @Test
    void withoutReportsTheUsualSpeedIsExpected() {
        assertEquals(1, SlowdownForecast.usual().at(5_000));
    }

    @Test
    void aReportCountsInFullForWorkThatStartsAtOnce() {
        assertEquals(4, SlowdownForecast.usual().with(4, 1_000).at(1_000), 1e-9);
    }

    @Test
    void aShortSlowdownIsForgottenWithinAFractionOfASecond() {
        SlowdownForecast forecast = SlowdownForecast.usual();
        for (long nowMs = 0; nowMs < 2_000; nowMs += 100) {
            forecast = forecast.with(1, nowMs);
        }
        forecast = forecast.with(4, 2_000);
        assertTrue(forecast.at(2_600) < 1.7, "still expected: " + forecast.at(2_600));
    }

    @Test
    void aLastingSlowdownIsExpectedBetweenReports() {
        SlowdownForecast forecast = SlowdownForecast.usual();
        for (long nowMs = 0; nowMs < 4_000; nowMs += 200) {
            forecast = forecast.with(3, nowMs);
        }
        assertTrue(forecast.at(4_600) > 2.3, "forgotten: " + forecast.at(4_600));
    }
}
