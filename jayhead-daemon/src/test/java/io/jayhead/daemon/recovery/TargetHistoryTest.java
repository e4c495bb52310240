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

class TargetHistoryTest {

    private static final UpstreamName ENGINE = UpstreamName.of("engine-a");

    /** Guards against closing a grant that was spent at an upstream which left the fleet text. */
    @Test
    void anUpstreamThatLeftTheTextStaysATarget() {
        TargetHistory history = new TargetHistory();
        history.adopted(view(1, "engine-a", "http://127.0.0.1:1", true), 100);
        history.adopted(view(2, "engine-b", "http://127.0.0.1:2", true), 200);

        Map<UpstreamName, ?> targets = history.targets(Fleet.BUDGET, 0).orElseThrow();

        assertEquals(java.util.Set.of(ENGINE, UpstreamName.of("engine-b")), targets.keySet());
    }

    /** Guards against a proof from an upstream that moved, or that took work while it ignored fencing. */
    @Test
    void anUpstreamThatMovedOrIgnoredFencingProvesNothing() {
        TargetHistory moved = new TargetHistory();
        moved.adopted(view(1, "engine-a", "http://127.0.0.1:1", true), 100);
        moved.adopted(view(2, "engine-a", "http://127.0.0.1:2", true), 200);
        TargetHistory ignored = new TargetHistory();
        ignored.adopted(view(1, "engine-a", "http://127.0.0.1:1", false), 100);
        ignored.adopted(view(2, "engine-a", "http://127.0.0.1:1", true), 200);

        assertFalse(moved.targets(Fleet.BUDGET, 0).orElseThrow().get(ENGINE).checksFencing());
        assertFalse(ignored.targets(Fleet.BUDGET, 0).orElseThrow().get(ENGINE).checksFencing());
    }

    /** Guards against a reclaim that misses upstreams of configurations which this router has not seen. */
    @Test
    void targetsAreUnknownForAHolderThatMayHaveUsedAMissedVersion() {
        TargetHistory history = new TargetHistory();
        history.adopted(view(1, "engine-a", "http://127.0.0.1:1", true), 100);
        history.adopted(view(3, "engine-a", "http://127.0.0.1:1", true), 10_000);

        assertTrue(history.targets(Fleet.BUDGET, 14_999).isEmpty());
        assertTrue(history.targets(Fleet.BUDGET, 15_000).isPresent());
    }

    private static FleetView view(long version, String engine, String address, boolean checksFencing) {
        String text = Fleet.text(engine, address, checksFencing);
        return new FleetView(
                new FleetDocument(version, "c" + version, text),
                FleetParser.parse(text).get());
    }
}
