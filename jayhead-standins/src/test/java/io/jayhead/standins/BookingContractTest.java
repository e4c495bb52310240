package io.jayhead.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BookingContractTest {

    /** Guards against a stand-in that hides a booking which a router sent twice. */
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

    /** Guards against an execution that waits for the answer, which would hide a lost answer's effect. */
    @Test
    void theBookingExecutesBeforeItsDelayedAnswer() {
        try (Fixture booking = Fixture.impatient(Duration.ofMillis(400), "booking", "--delay-ms", "2000")) {
            assertTrue(FaultContractTest.fails(() -> booking.post("/bookings", "{\"order\":\"o1\"}")));
            assertEquals(
                    "{\"executions\":{\"o1\":1}}", booking.get("/executions").body());
        }
    }

    /** Guards against malformed orders that count as executions. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "{\"order\":\"\"}", "{\"order\":{}}", "not json"})
    void aBodyWithoutAnOrderIsRefused(String body) {
        try (Fixture booking = Fixture.of("booking")) {
            assertEquals(400, booking.post("/bookings", body).status());
            assertEquals("{\"executions\":{}}", booking.get("/executions").body());
        }
    }
}
