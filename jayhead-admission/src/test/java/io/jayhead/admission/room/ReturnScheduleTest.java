package io.jayhead.admission.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against callers that were turned away together and return all at once. */
class ReturnScheduleTest {

    @Test
    void callersThatAreTurnedAwayTogetherReturnOneByOneAsPlacesBecomeFree() {
        ReturnSchedule schedule = ReturnSchedule.EMPTY;
        for (int caller = 1; caller <= 10; caller++) {
            schedule = schedule.book(1_000, 200, 200);
            assertEquals(1_000 + 200 * caller, schedule.bookedUntilMs());
        }
    }

    @Test
    void returnsAreNotPlannedBeyondTheNextSeconds() {
        ReturnSchedule schedule = ReturnSchedule.EMPTY;
        for (int caller = 0; caller < 1_000; caller++) {
            schedule = schedule.book(1_000, 200, 200);
            assertTrue(schedule.bookedUntilMs() <= 6_000);
        }
    }
}
