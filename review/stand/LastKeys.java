import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The last API keys of a deployment are revoked, one after the other. */
final class LastKeys extends Case {

    private static final String KEY_A = "n2ctnfzs989anu6wsjnb";
    private static final String KEY_B = "p7hq2mzd41xk0v9rwe3t";
    private static final String NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz";
    private static final long PREPAID = 2_000_000;
    private static final long REVOKE_MS = 5_000;

    private final Set<String> ran = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        new LastKeys().run(arguments);
    }

    @Override
    boolean play() throws Exception {
        Engine.Listener listener = (engine, request) -> {
            ran.add(request.header("Request-Id"));
            record.add("engine " + engine.id + " runs " + request.header("Request-Id") + " " + request.first()
                    + ", Tenant: '" + request.header("Tenant") + "'");
        };
        Engine.Work stream = new Engine.Work(true, 8, 20, 0, 0);
        Engine.Work call = new Engine.Work(false, 0, 0, 20, 800);
        for (String zone : List.of("bern-a", "bern-b")) {
            new Engine(fleet.store, Fleet.POOL, zone, stream, listener);
            new Engine(fleet.store, Fleet.DESK, zone, call, listener);
        }
        fleet.configure(Map.of("hule930", List.of(KEY_A), "yera287", List.of(KEY_B)), PREPAID);
        require(fleet.startRouters(2, fleet.store.port()), "the routers are not ready");
        require(status("a key in force", KEY_A) == 200, "a request with a key in force is not served");
        require(status("a key that no version held", NEVER_HELD) == 401, "a key that no version held is not refused");
        Threads.sleep(3_000);
        if (trouble) {
            fleet.configure(Map.of("hule930", List.of(), "yera287", List.of(KEY_B)), PREPAID);
            record.add("the store acknowledged a version without the key of hule930");
            Threads.sleep(1_500);
            fleet.configure(Map.of("hule930", List.of(), "yera287", List.of()), PREPAID);
            record.add("the store acknowledged a version without the key of yera287");
        }
        Threads.sleep(REVOKE_MS + 1_000);
        int broken = 0;
        for (int i = 0; i < 10; i++) {
            broken += runs("a key that no version held", NEVER_HELD) ? 1 : 0;
            if (trouble) {
                broken += runs("a revoked key", i % 2 == 0 ? KEY_A : KEY_B) ? 1 : 0;
            }
            Threads.sleep(300);
        }
        record.add(broken + " requests ran without a key in force");
        return broken == 0;
    }

    private boolean runs(String what, String key) throws IOException {
        String id = Client.newId();
        status(what, key, id);
        return ran.contains(id);
    }

    private int status(String what, String key) throws IOException {
        return status(what, key, Client.newId());
    }

    private int calls;

    private int status(String what, String key, String id) throws IOException {
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
            record.add("client sends " + id + " with " + what + " to " + router.name + ": " + head.split("\r")[0]);
            client.send(head, Fleet.bytes(600));
            Http.Message answer = Http.read(client.in);
            record.add("client gets " + answer.first() + " for " + id + ", " + answer.body().length + " bytes");
            return answer.status();
        }
    }
}
