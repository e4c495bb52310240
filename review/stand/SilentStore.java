import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Some of the open connections to the store go silent for good; others and new ones work. */
final class SilentStore extends Case {

    private static final String KEPT_KEY = "n2ctnfzs989anu6wsjnb";
    private static final String REVOKED_KEY = "p7hq2mzd41xk0v9rwe3t";
    private static final long PREPAID = 2_000_000;
    private static final long STABLE_MS = 3_000;
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final double SILENT_SHARE = 0.5;

    private final Set<String> ran = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        new SilentStore().run(arguments);
    }

    @Override
    boolean play() throws Exception {
        Engine.Listener listener = (engine, request) -> {
            ran.add(request.header("Request-Id"));
            record.add("engine " + engine.id + " runs " + request.header("Request-Id") + " " + request.first());
        };
        Engine.Work stream = new Engine.Work(true, 8, 20, 0, 0);
        Engine.Work call = new Engine.Work(false, 0, 0, 20, 800);
        for (String zone : List.of("bern-a", "bern-b")) {
            new Engine(fleet.store, Fleet.POOL, zone, stream, listener);
            new Engine(fleet.store, Fleet.DESK, zone, call, listener);
        }
        fleet.configure(Map.of("hule930", List.of(KEPT_KEY), "yera287", List.of(REVOKED_KEY)), PREPAID);
        Proxy proxy = new Proxy(fleet.store.port());
        require(fleet.startRouters(2, proxy.port()), "the routers are not ready");
        for (int i = 0; i < 12; i++) {
            require(status(KEPT_KEY, Client.newId()) == 200, "a request with a key in force is not served");
            Threads.sleep(500);
        }
        if (trouble) {
            record.add("silent from now on: " + proxy.silence(SILENT_SHARE) + " to the store");
        }
        Threads.sleep(STABLE_MS + 500);
        fleet.configure(Map.of("hule930", List.of(KEPT_KEY), "yera287", List.of()), PREPAID);
        record.add("the store acknowledged a version without the key of yera287");
        Threads.sleep(CONFIG_APPLY_MS + 500);
        int broken = 0;
        for (int i = 0; i < 20; i++) {
            String id = Client.newId();
            status(REVOKED_KEY, id);
            broken += ran.contains(id) ? 1 : 0;
            status(KEPT_KEY, Client.newId());
            Threads.sleep(500);
        }
        record.add(broken + " requests ran with a key that was revoked over " + CONFIG_APPLY_MS + " ms before");
        return broken == 0;
    }

    private int calls;

    private int status(String key, String id) throws IOException {
        Router router = fleet.routers.get(calls++ % fleet.routers.size());
        boolean booking = calls % 4 < 2;
        String head = booking
                ? Client.head("POST", "/book-delivery/1", id, key, 1_000, "", 600)
                : Client.head(
                        "POST",
                        "/driver-query/1",
                        id,
                        key,
                        12_000,
                        "Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
                        600);
        try (Client client = new Client(router.frontPort, 0)) {
            record.add("client sends " + id + " with key " + key + " to " + router.name);
            client.send(head, Fleet.bytes(600));
            Http.Message answer = Http.read(client.in);
            record.add("client gets " + answer.first() + " for " + id + ", " + answer.body().length + " bytes");
            return answer.status();
        }
    }
}
