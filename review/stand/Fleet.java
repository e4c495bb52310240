import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: the store, engines and routers of one case. */
final class Fleet {

    static final String HOST = "ficu95.example";
    static final long HEARTBEAT_MS = 1_200;
    static final String POOL = "jayhead-pool";
    static final String DESK = "order-desk";

    final Store store;
    final List<Router> routers = new ArrayList<>();
    final Path folder;
    private long version = 7;

    Fleet() throws IOException {
        store = new Store();
        folder = Files.createTempDirectory("review");
    }

    /** Writes the next version of the configuration; the return is its acknowledgement. */
    long configure(Map<String, List<String>> keysByTenant, long prepaid) {
        List<Object> tenants = new ArrayList<>();
        keysByTenant.forEach(
                (tenant, keys) -> tenants.add(Json.of("Name", tenant, "ApiKeys", keys, "Prepaid", prepaid)));
        version += 3;
        store.put(
                "config",
                "main",
                Json.of(
                        "Version", version, "Routes",
                        List.of(
                                route("driver-query", "streaming", POOL, 12_000, 500, 2, true),
                                route("route-digest", "streaming", POOL, 15_000, 1_000, 1, false),
                                route("book-delivery", "unsafe", DESK, 1_000, 100, 1, false),
                                route("status-read", "safe", DESK, 1_000, 100, 2, false)),
                        "Services", List.of(Engine.service(POOL, true), Engine.service(DESK, false)), "Limits",
                        Json.of(
                                "MaxHeaderBytes", 16_384, "MaxBodyBytes", 4_194_304, "HeaderTimeoutMs", 5_000,
                                "IdleTimeoutMs", 15_000),
                        "Tenants", tenants),
                null);
        return version;
    }

    private static Map<String, Object> route(
            String name, String kind, String service, int timeoutMs, int goalMs, int attempts, boolean resumable) {
        Map<String, Object> route = new LinkedHashMap<>(Json.of(
                "Name", name, "Host", HOST, "PathPrefix", "/" + name + "/", "Kind", kind, "Service", service,
                "TimeoutMs", timeoutMs, "GoalMs", goalMs, "Priority", 1, "MaxAttempts", attempts));
        if (kind.equals("streaming")) {
            route.put("Resumable", resumable);
            route.put("GapAimMs", 600);
            route.put("Sticky", true);
        }
        return route;
    }

    /** Starts routers that reach the store at a port, and waits until all are ready. */
    boolean startRouters(int count, int storePort) throws IOException {
        for (int i = 0; i < count; i++) {
            routers.add(new Router("front-" + (char) ('a' + i) + "-1", "bern-" + (char) ('a' + i), storePort, folder));
        }
        long endNs = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < endNs) {
            if (routers.stream().allMatch(Router::isReady)) {
                return true;
            }
            Threads.sleep(100);
        }
        return false;
    }

    /** Ends all routers and removes the temporary folder. */
    void end() throws IOException, InterruptedException {
        for (Router router : routers) {
            router.end();
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        Arrays.fill(bytes, (byte) 'b');
        return bytes;
    }
}
