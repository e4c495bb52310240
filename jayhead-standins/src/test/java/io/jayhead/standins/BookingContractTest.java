package io.jayhead.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a booking stand-in whose counts of executions are wrong. Tests of the routers would then miss a
 * booking that was sent twice or count one that was never executed.
 */
class BookingContractTest {

    /** Guards against a stand-in that deduplicates orders and so hides that a router sent a booking twice. */
    @Test
    void anOrderPostedTwiceExecutesTwice() {
        try (Fixture booking = Fixture.of("booking")) {
            assertEquals(404, booking.get("/bookings/o1").status());
            booking.post("/bookings", "{\"order\":\"o1\"}");
            Fixture.Answer second = booking.post("/bookings", "{\"order\":\"o1\"}");

            assertEquals(201, second.status());
            assertEquals("{\"order\":\"o1\",\"executions\":2}", second.body());
            assertEquals(second.body(), booking.get("/bookings/o1").body());
            assertEquals(
                    "{\"executions\":{\"o1\":2}}", booking.get("/executions").body());
        }
    }

    /** Guards against an execution only at the time of the response: a lost response would then mean no execution. */
    @Test
    void theBookingExecutesBeforeItsDelayedAnswer() {
        try (Fixture booking = Fixture.withCallTimeout(Duration.ofMillis(400), "booking", "--delay-ms", "2000")) {
            assertTrue(FaultContractTest.failsWithIoException(() -> booking.post("/bookings", "{\"order\":\"o1\"}")));
            assertEquals(
                    "{\"executions\":{\"o1\":1}}", booking.get("/executions").body());
        }
    }

    /** Guards against malformed bodies that are counted as executions. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "{\"order\":\"\"}", "{\"order\":{}}", "not json"})
    void aBodyWithoutAnOrderIsRefused(String body) {
        try (Fixture booking = Fixture.of("booking")) {
            assertEquals(400, booking.post("/bookings", body).status());
            assertEquals("{\"executions\":{}}", booking.get("/executions").body());
        }
    }
}
