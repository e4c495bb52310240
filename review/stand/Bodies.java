import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** One tenant sends many times its usual, with bodies within the limits; another tenant's bookings are watched. */
final class Bodies extends Case {

    private static final String HOT_KEY = "n2ctnfzs989anu6wsjnb";
    private static final String OTHER_KEY = "p7hq2mzd41xk0v9rwe3t";
    private static final long PREPAID = 500_000_000;
    /** A quarter of MaxBodyBytes. */
    private static final int BODY_BYTES = 1_000_000;

    private static final int USUAL_PER_S = 2;
    private static final double HOT_FACTOR = 7.5;
    private static final double CALM_S = 5;
    private static final double HOT_S = 6.5;
    private static final double AFTER_S = 5;

    private static final int BOOKING_CLIENTS = 12;
    private static final int TIMEOUT_MS = 1_000;
    private static final int SLACK_MS = 500;
    private static final int DEADLINE_MS = 3_000;
    private static final int MIN_LATE = 8;

    private final AtomicInteger uploads = new AtomicInteger();
    private final AtomicInteger uploadsServed = new AtomicInteger();
    private final AtomicInteger bookings = new AtomicInteger();
    private final AtomicInteger pastTimeout = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private volatile boolean over;

    public static void main(String[] arguments) {
        new Bodies().run(arguments);
    }

    @Override
    boolean play() throws Exception {
        Engine.Listener listener = (engine, request) -> record.add("engine " + engine.id + " runs "
                + request.header("Request-Id") + " " + request.first() + ", " + request.body().length + " bytes");
        Engine.Work stream = new Engine.Work(true, 64, 100, 0, 0);
        Engine.Work call = new Engine.Work(false, 0, 0, 20, 800);
        for (String zone : List.of("bern-a", "bern-b")) {
            new Engine(fleet.store, Fleet.POOL, zone, stream, listener);
            new Engine(fleet.store, Fleet.DESK, zone, call, listener);
        }
        fleet.configure(Map.of("hule930", List.of(HOT_KEY), "yera287", List.of(OTHER_KEY)), PREPAID);
        require(fleet.startRouters(1, fleet.store.port()), "the router is not ready");
        for (int i = 0; i < BOOKING_CLIENTS; i++) {
            Threads.start(this::book);
        }
        double startS = Record.now();
        boolean wasHot = false;
        for (double nowS = 0; nowS < CALM_S + HOT_S + AFTER_S; nowS = Record.now() - startS) {
            boolean hot = trouble && nowS > CALM_S && nowS < CALM_S + HOT_S;
            if (hot != wasHot) {
                record.add("tenant hule930 sends " + (hot ? HOT_FACTOR + " times" : "as often as") + " its usual");
                wasHot = hot;
            }
            Threads.start(this::upload);
            Threads.sleep((long) (1_000 / (USUAL_PER_S * (hot ? HOT_FACTOR : 1))));
        }
        over = true;
        Threads.sleep(TIMEOUT_MS + SLACK_MS + 500);
        int outOfMemory = fleet.routers.get(0).logLines("OutOfMemoryError", Integer.MAX_VALUE).size();
        record.add("of " + uploads + " requests of tenant hule930, " + uploadsServed + " were served whole so far");
        record.add("the router's process " + (fleet.routers.get(0).isAlive() ? "runs" : "has ended") + "; "
                + outOfMemory + " lines of its log name an OutOfMemoryError");
        record.add("of " + bookings + " bookings of tenant yera287, " + pastTimeout + " lasted longer than the TimeoutMs, "
                + late + " had no final answer " + SLACK_MS + " ms after it");
        return late.get() < MIN_LATE || late.get() * 4 <= pastTimeout.get();
    }

    private void book() {
        while (!over) {
            try (Client client = new Client(fleet.routers.get(0).frontPort, 0)) {
                client.socket.setSoTimeout(TIMEOUT_MS + SLACK_MS);
                while (!over && book(client)) {
                    Threads.sleep(200);
                }
            } catch (IOException failure) {
                record.add("client gets " + failure + " when it connects");
                Threads.sleep(200);
            }
        }
    }

    /** Sends a booking; returns whether the connection can be used again. */
    private boolean book(Client client) {
        String id = Client.newId();
        bookings.incrementAndGet();
        double sentS = Record.now();
        try {
            record.add("client sends booking " + id);
            client.send(
                    Client.head("POST", "/book-delivery/1", id, OTHER_KEY, DEADLINE_MS, "", 600), Fleet.bytes(600));
            Http.Message answer = Http.read(client.in);
            double tookMs = (Record.now() - sentS) * 1_000;
            pastTimeout.addAndGet(tookMs > TIMEOUT_MS ? 1 : 0);
            record.add("client gets " + (answer == null ? "a closed connection" : answer.first()) + " for booking " + id
                    + " after " + Math.round(tookMs) + " ms");
            return answer != null && answer.whole();
        } catch (SocketTimeoutException silent) {
            pastTimeout.incrementAndGet();
            late.incrementAndGet();
            record.add("client has no answer for booking " + id + " after " + (TIMEOUT_MS + SLACK_MS) + " ms");
        } catch (IOException failure) {
            record.add("client gets " + failure + " for booking " + id);
        }
        return false;
    }

    private void upload() {
        String id = Client.newId();
        String head = Client.head(
                "POST",
                "/route-digest/1",
                id,
                HOT_KEY,
                15_000,
                "Model: m\r\nToken-Count: 54600,384\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:4870,e4402b7d:48930\r\n",
                BODY_BYTES);
        uploads.incrementAndGet();
        try (Client client = new Client(fleet.routers.get(0).frontPort, 0)) {
            record.add("client sends " + id + " with " + BODY_BYTES + " bytes");
            client.send(head, Fleet.bytes(BODY_BYTES));
            Http.Message answer = Http.read(client.in);
            boolean served = answer != null && answer.status() == 200 && answer.whole();
            uploadsServed.addAndGet(served ? 1 : 0);
            record.add("client gets " + (answer == null ? "a closed connection" : answer.first()) + " for " + id
                    + (served ? "" : ", not whole"));
        } catch (IOException failure) {
            record.add("client gets " + failure + " for " + id);
        }
    }
}
