package io.jayhead.admission.room;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against treating callers that return as new ones, and callers with deadlines of their own as returning. */
class UsualDeadlineTest {

    private static final int REQUESTS = 50;

    @Test
    void aShorterDeadlineThanTheUsualOneShowsForHowLongTheCallerHasTried() {
        UsualDeadline usual = UsualDeadline.UNKNOWN;
        for (int request = 0; request < REQUESTS; request++) {
            usual = usual.arrived(10_000);
        }
        assertEquals(0, usual.triedForMs(10_000));
        assertEquals(1_500, usual.triedForMs(8_500));
    }

    @Test
    void aSingleLongDeadlineIsForgotten() {
        UsualDeadline usual = UsualDeadline.UNKNOWN.arrived(1_000_000);
        for (int request = 0; request < 5_000; request++) {
            usual = usual.arrived(10_000);
        }
        assertEquals(2_000, usual.triedForMs(8_000));
    }

    @Test
    void deadlinesThatDifferByCallerSayNothing() {
        UsualDeadline usual = UsualDeadline.UNKNOWN;
        for (int request = 0; request < 4 * REQUESTS; request++) {
            usual = usual.arrived(1_000 + 100L * (request % 10));
        }
        assertEquals(0, usual.triedForMs(1_200));
    }

    @Test
    void theFirstDeadlinesOfARouteAreNotBelievedYet() {
        assertEquals(0, UsualDeadline.UNKNOWN.arrived(10_000).triedForMs(8_000));
    }
}
