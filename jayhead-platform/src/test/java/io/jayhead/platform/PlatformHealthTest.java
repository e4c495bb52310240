package io.jayhead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against an outage assumed after a single lost reply, and against routers that call again too early. */
class PlatformHealthTest {

    @Test
    void oneLostReplyDoesNotCountAsAnOutage() {
        PlatformHealth health = PlatformHealth.initial().afterFailure(0, 0.9).afterFailure(1, 0.9);
        assertFalse(health.isDown());
        assertTrue(health.mayTry(1));
        assertTrue(health.afterFailure(2, 0.9).isDown());
        assertFalse(health.afterFailure(2, 0.9).mayTry(3));
        assertFalse(health.afterFailure(2, 0.9).afterSuccess().isDown());
    }

    /** Guards against routers that call a recovered platform at the same time, and against delays above the cap. */
    @Property
    void delaysSpreadFromZeroToTheBound(
            @ForAll @IntRange(min = 1, max = 1000) int failures,
            @ForAll @DoubleRange(max = 1, maxIncluded = false) double random) {
        long bound = (long) Math.min(10_000, 200 * Math.pow(2, failures - 1));
        assertEquals((long) (random * bound), Backoff.reconnect().delayMs(failures, random));
    }
}
