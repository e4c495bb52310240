package io.jayhead.daemon.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.config.fleet.FleetParser;
import io.jayhead.daemon.fleet.FleetDocument;
import io.jayhead.daemon.fleet.FleetView;
import io.jayhead.model.UpstreamName;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against closing a grant without proof of what its holder spent at every upstream. This happens if the history
 * forgets upstreams of earlier configurations, misses a configuration, or trusts fences that prove nothing.
 */
class TargetHistoryTest {

    private static final UpstreamName ENGINE = UpstreamName.of("engine-a");

    /** Guards against closing a grant without a fence at an upstream that was removed from the fleet text. */
    @Test
    void anUpstreamThatLeftTheTextStaysATarget() {
        TargetHistory history = new TargetHistory();
        history.add(view(1, "engine-a", "http://127.0.0.1:1", true), 100);
        history.add(view(2, "engine-b", "http://127.0.0.1:2", true), 200);

        Map<UpstreamName, ?> targets = history.targets(TestFleet.BUDGET, 0).orElseThrow();

        assertEquals(java.util.Set.of(ENGINE, UpstreamName.of("engine-b")), targets.keySet());
    }

    /** Guards against relying on the fence of an upstream that moved, or that took work while it ignored fencing. */
    @Test
    void anUpstreamThatMovedOrIgnoredFencingProvesNothing() {
        TargetHistory moved = new TargetHistory();
        moved.add(view(1, "engine-a", "http://127.0.0.1:1", true), 100);
        moved.add(view(2, "engine-a", "http://127.0.0.1:2", true), 200);
        TargetHistory ignored = new TargetHistory();
        ignored.add(view(1, "engine-a", "http://127.0.0.1:1", false), 100);
        ignored.add(view(2, "engine-a", "http://127.0.0.1:1", true), 200);

        assertFalse(moved.targets(TestFleet.BUDGET, 0).orElseThrow().get(ENGINE).checksFencing());
        assertFalse(
                ignored.targets(TestFleet.BUDGET, 0).orElseThrow().get(ENGINE).checksFencing());
    }

    /** Guards against a reclaim that misses upstreams of configurations that this router has not seen. */
    @Test
    void targetsAreUnknownForAHolderThatMayHaveUsedAMissedVersion() {
        TargetHistory history = new TargetHistory();
        history.add(view(1, "engine-a", "http://127.0.0.1:1", true), 100);
        history.add(view(3, "engine-a", "http://127.0.0.1:1", true), 10_000);

        assertTrue(history.targets(TestFleet.BUDGET, 14_999).isEmpty());
        assertTrue(history.targets(TestFleet.BUDGET, 15_000).isPresent());
    }

    private static FleetView view(long version, String engine, String address, boolean checksFencing) {
        String text = TestFleet.text(engine, address, checksFencing);
        return new FleetView(
                new FleetDocument(version, "c" + version, text),
                FleetParser.parse(text).get());
    }
}
