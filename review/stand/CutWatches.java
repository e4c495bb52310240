import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The store cuts waiting watches off while the entry of an engine is removed, which goes on serving for a while. */
final class CutWatches extends Case {

    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final long PREPAID = 50_000_000;
    private static final long DRAIN_MS = 2_000;
    private static final long MIN_WATCH_MS = 500;
    private static final long MAX_WATCH_MS = 2_000;

    private final Map<String, Double> ranAt = new ConcurrentHashMap<>();
    private volatile Engine leaving;
    private volatile double goneAt = Double.MAX_VALUE;
    private volatile int late;

    public static void main(String[] arguments) {
        new CutWatches().run(arguments);
    }

    @Override
    boolean play() throws Exception {
        Engine.Listener listener = (engine, request) -> {
            String note = "";
            if (engine == leaving && Record.now() > goneAt + DRAIN_MS / 1e3) {
                late++;
                note = ", over " + DRAIN_MS + " ms after its entry was removed";
            }
            record.add("engine " + engine.id + " runs " + request.header("Request-Id") + note);
        };
        Engine.Work call = new Engine.Work(false, 0, 0, 20, 800);
        Engine.Work stream = new Engine.Work(true, 8, 20, 0, 0);
        Engine first = new Engine(fleet.store, Fleet.DESK, "bern-a", call, listener);
        new Engine(fleet.store, Fleet.DESK, "bern-b", call, listener);
        new Engine(fleet.store, Fleet.DESK, "bern-c", call, listener);
        new Engine(fleet.store, Fleet.POOL, "bern-a", stream, listener);
        fleet.configure(Map.of("hule930", List.of(KEY)), PREPAID);
        if (trouble) {
            fleet.store.cutWatches(MIN_WATCH_MS, MAX_WATCH_MS);
        }
        require(fleet.startRouters(2, fleet.store.port()), "the routers are not ready");
        for (int i = 0; i < 40; i++) {
            require(status() == 200, "a booking is not served");
            Threads.sleep(100);
        }
        leaving = first;
        fleet.store.delete("servers", first.id);
        goneAt = Record.now();
        record.add("the store acknowledged that the entry of engine " + first.id + " is removed");
        for (int i = 0; i < 100; i++) {
            status();
            Threads.sleep(100);
        }
        record.add(late + " requests reached engine " + first.id + " over " + DRAIN_MS + " ms after that");
        return late == 0;
    }

    private int calls;

    private int status() throws IOException {
        Router router = fleet.routers.get(calls++ % fleet.routers.size());
        String id = Client.newId();
        try (Client client = new Client(router.frontPort, 0)) {
            record.add("client sends " + id + " to " + router.name);
            client.send(Client.head("POST", "/book-delivery/1", id, KEY, 1_000, "", 600), Fleet.bytes(600));
            Http.Message answer = Http.read(client.in);
            record.add("client gets " + answer.first() + " for " + id);
            return answer.status();
        }
    }
}
