package io.jayhead.routing.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against upstreams that are taken for warm because the platform has not reported their start yet. */
class FailedConnectsTest {

    private static final long WARM_UP_MS = 3_000;

    @Test
    void anUpstreamThatAcceptsNoConnectionMayBeStartingForTwoWarmUps() {
        FailedConnects failed = FailedConnects.none().with("i@1", 100);
        assertTrue(failed.mayBeStarting("i@1", WARM_UP_MS, 100 + 2 * WARM_UP_MS - 1));
        assertFalse(failed.mayBeStarting("i@1", WARM_UP_MS, 100 + 2 * WARM_UP_MS));
        assertFalse(failed.mayBeStarting("j@1", WARM_UP_MS, 100));
    }

    @Test
    void theLastFailureCounts() {
        FailedConnects failed = FailedConnects.none().with("i@1", 100).with("i@1", 5_000);
        assertTrue(failed.mayBeStarting("i@1", WARM_UP_MS, 10_999));
    }

    @Test
    void oldFailuresAreForgotten() {
        FailedConnects failed = FailedConnects.none().with("i@1", 100).with("j@1", 70_000);
        assertEquals(Set.of("j@1"), failed.lastAtMs().keySet());
    }
}
