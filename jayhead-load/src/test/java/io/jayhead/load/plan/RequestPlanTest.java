package io.jayhead.load.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.RequestKind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RequestPlanTest {

    private static List<PlannedRequest> plan(Mix mix, long seed) {
        return RequestPlan.of(new PlanSettings(mix, 50, 60, seed, 7, 0.1));
    }

    /** Guards against a plan that depends on anything but its settings, so that a run cannot be repeated. */
    @Test
    void equalSettingsGiveAnEqualPlan() {
        assertEquals(plan(Mix.USER1, 3), plan(Mix.USER1, 3));
        assertNotEquals(plan(Mix.USER1, 3), plan(Mix.USER1, 4));
    }

    /** Guards against retries to the router of the first send, which could recognise them from its own memory. */
    @Test
    void aRetryRepeatsAnEarlierRequestThroughAnotherRouter() {
        Map<String, PlannedRequest> firstSends = new HashMap<>();
        int retries = 0;
        for (PlannedRequest request : plan(Mix.USER2, 3)) {
            if (!request.retry()) {
                firstSends.putIfAbsent(request.key(), request);
                continue;
            }
            retries++;
            PlannedRequest original = firstSends.get(request.key());
            assertEquals(original.prompt(), request.prompt());
            assertEquals(original.requestKey(), request.requestKey());
            assertNotEquals(original.router(), request.router());
        }
        assertTrue(retries > 150, "retries: " + retries);
    }

    /** Guards against shares that do not add up to 100 percent and draws that ignore them. */
    @ParameterizedTest
    @EnumSource(Mix.class)
    void eachShapeIsSentInItsShare(Mix mix) {
        assertEquals(
                100, mix.shapes().stream().mapToInt(RequestShape::sharePercent).sum());
        List<PlannedRequest> firstSends =
                plan(mix, 3).stream().filter(request -> !request.retry()).toList();
        for (RequestShape shape : mix.shapes()) {
            long count = firstSends.stream()
                    .filter(request -> request.shape() == shape)
                    .count();
            assertEquals(shape.sharePercent(), 100.0 * count / firstSends.size(), 3, shape.service());
        }
    }

    /** Guards against status reads of orders that were never placed, or at a service that does not know the order. */
    @Test
    void aStatusReadAsksForAnEarlierOrder() {
        Map<String, PlannedRequest> bookings = new HashMap<>();
        for (PlannedRequest request : plan(Mix.USER2, 3)) {
            if (request.kind() == RequestKind.BOOKING && !request.retry()) {
                bookings.put(request.key(), request);
            }
            if (request.kind() == RequestKind.STATUS_READ) {
                PlannedRequest booking = bookings.get(request.key());
                assertEquals(booking.organisation(), request.organisation());
                assertEquals(booking.service().replace("order", "order-status"), request.service());
            }
        }
    }
}
