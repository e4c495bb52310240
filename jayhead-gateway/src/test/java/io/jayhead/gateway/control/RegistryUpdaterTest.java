package io.jayhead.gateway.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.routing.registry.Upstream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against log lines from which nobody can tell why an upstream that has left still gets requests. */
class RegistryUpdaterTest {

    private static final long HEARTBEAT_MS = 1_000;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final RegistryUpdater updater =
            new RegistryUpdater(HEARTBEAT_MS, new StructuredLog(new PrintStream(output, true)), registry -> {});

    @Test
    void theLineNamesTheUpstreamsThatGetNoMoreRequests() throws Exception {
        list("a", "b", "c");
        updater.changed(new UpstreamChanges(List.of(
                new UpstreamChange("b", Optional.of(upstream("b", true))), new UpstreamChange("c", Optional.empty()))));
        assertLine("\"left_upstreams\":\"[b@7, c@7]\",\"kept_upstreams\":\"[]\"");
    }

    @Test
    void theLineNamesTheUpstreamsThatAreKeptAfterAnOutage() throws Exception {
        list("a", "b");
        updater.platformRecovered(HEARTBEAT_MS);
        list("a");
        assertLine("\"left_upstreams\":\"[]\",\"kept_upstreams\":\"[b]\"");
    }

    @Test
    void anUpstreamThatIsGoneIsNotKeptAfterAnOutageTooShortForItsEntryToLapse() throws Exception {
        list("a", "b");
        updater.platformRecovered(HEARTBEAT_MS - 1);
        list("a");
        assertLine("\"left_upstreams\":\"[b@7]\",\"kept_upstreams\":\"[]\"");
    }

    private void list(String... ids) {
        Map<String, Upstream> byId = new HashMap<>();
        for (String id : ids) {
            byId.put(id, upstream(id, false));
        }
        updater.listed(new UpstreamListing(byId));
    }

    private static Upstream upstream(String id, boolean draining) {
        return new Upstream(id, 7, "pool", "10.0.0.1", 80, "zone-1", draining, 8);
    }

    /** The line is written by another thread. */
    private void assertLine(String part) throws InterruptedException {
        for (int wait = 0; wait < 100 && !text().contains(part); wait++) {
            Thread.sleep(20);
        }
        assertTrue(text().contains(part), text());
    }

    private String text() {
        return output.toString(StandardCharsets.UTF_8);
    }
}
