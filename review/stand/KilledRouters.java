import java.io.IOException;
import java.util.Map;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** All routers are killed at once, several times; a tenant goes on with requests that its prepaid tokens cover. */
final class KilledRouters extends Case {

    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final long PREPAID = 2_000_000;
    private static final double FITS_SHARE = 0.97;
    private static final int PROMPT_TOKENS = 1_460;
    private static final int MAX_OUTPUT_TOKENS = 80;
    private static final int TOKENS_PER_EVENT = 6;
    private static final int EVENTS = 8;
    private static final int REQUESTS = 1_250;
    private static final int PER_S = 30;
    private static final double[] KILLS_AT_S = {5, 10, 15, 20};
    private static final long RESTART_MS = 500;
    private static final double STABLE_S = 3;
    private static final double RECOVER_S = 12;
    private static final double RECOVERED_SHARE = 0.25;

    private final AtomicLong consumed = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger denied = new AtomicInteger();
    private final AtomicInteger sentBefore = new AtomicInteger();
    private final AtomicInteger servedBefore = new AtomicInteger();
    private final AtomicInteger sentLate = new AtomicInteger();
    private final AtomicInteger servedLate = new AtomicInteger();
    private volatile boolean finalFault;
    private volatile double restartedAt = -1e9;

    public static void main(String[] arguments) {
        new KilledRouters().run(arguments);
    }

    @Override
    boolean play() throws Exception {
        Engine.Listener listener =
                (engine, request) -> record.add("engine " + engine.id + " runs " + request.header("Request-Id"));
        Engine.Work stream = new Engine.Work(true, EVENTS, 10, 0, 0);
        for (String zone : List.of("bern-a", "bern-b", "bern-c")) {
            new Engine(fleet.store, Fleet.POOL, zone, stream, listener);
        }
        fleet.configure(Map.of("hule930", List.of(KEY)), PREPAID);
        require(fleet.startRouters(3, fleet.store.port()), "the routers are not ready");
        Threads.sleep(3_000);
        long startNs = System.nanoTime();
        int kills = trouble ? 0 : KILLS_AT_S.length;
        if (!trouble) {
            finalFault = true;
            restartedAt = Record.now() + KILLS_AT_S[KILLS_AT_S.length - 1];
        }
        for (int i = 0; i < REQUESTS; i++) {
            double elapsedS = (System.nanoTime() - startNs) / 1e9;
            if (kills < KILLS_AT_S.length && elapsedS > KILLS_AT_S[kills]) {
                kills++;
                finalFault |= kills == KILLS_AT_S.length;
                killAll();
            }
            Router router = fleet.routers.get(i % fleet.routers.size());
            Threads.start(() -> request(router));
            long nextNs = startNs + (long) ((i + 1) * 1e9 / PER_S);
            Threads.sleep(Math.max(0, (nextNs - System.nanoTime()) / 1_000_000));
        }
        Threads.sleep(2_000);
        record.add(served + " of " + REQUESTS + " requests served; " + consumed + " of " + PREPAID
                + " tokens consumed; " + denied + " requests refused with 402 although they fit, by routers in touch");
        record.add("before the last kill, " + servedBefore + " of " + sentBefore + " served; sent later than " + RECOVER_S
                + " s after all routers were ready again, " + servedLate + " of " + sentLate + " served");
        require(sentLate.get() > 0, "no request was sent late enough");
        boolean enoughBefore = servedBefore.get() >= RECOVERED_SHARE * sentBefore.get();
        return !enoughBefore || servedLate.get() >= RECOVERED_SHARE * sentLate.get();
    }

    private void killAll() throws IOException, InterruptedException {
        record.add("all routers are killed; consumed so far: " + consumed);
        for (Router router : fleet.routers) {
            router.end();
        }
        Threads.sleep(RESTART_MS);
        for (Router router : fleet.routers) {
            router.start();
        }
        for (int i = 0; i < 200 && !fleet.routers.stream().allMatch(Router::isReady); i++) {
            Threads.sleep(50);
        }
        restartedAt = Record.now();
        record.add("all routers are ready again");
    }

    private void request(Router router) throws IOException {
        String id = Client.newId();
        String head = Client.head(
                "POST",
                "/driver-query/1",
                id,
                KEY,
                12_000,
                "Model: m\r\nToken-Count: " + PROMPT_TOKENS + "," + MAX_OUTPUT_TOKENS
                        + "\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
                600);
        long most = PROMPT_TOKENS + MAX_OUTPUT_TOKENS;
        boolean before = !finalFault;
        boolean late = finalFault && Record.now() > restartedAt + RECOVER_S;
        sentBefore.addAndGet(before ? 1 : 0);
        sentLate.addAndGet(late ? 1 : 0);
        open.incrementAndGet();
        try (Client client = new Client(router.frontPort, 0)) {
            record.add("client sends " + id + " to " + router.name);
            client.send(head, Fleet.bytes(600));
            Http.Message answer = Http.read(client.in);
            int events = 0;
            if (answer != null && answer.status() == 200) {
                events = new String(answer.body()).split("\n\n", -1).length - 1;
                consumed.addAndGet(PROMPT_TOKENS + (long) events * TOKENS_PER_EVENT);
                int one = answer.whole() ? 1 : 0;
                served.addAndGet(one);
                servedBefore.addAndGet(before ? one : 0);
                servedLate.addAndGet(late ? one : 0);
            }
            boolean fits = consumed.get() + most * open.get() <= FITS_SHARE * PREPAID;
            boolean inTouch = Record.now() > restartedAt + STABLE_S;
            boolean isDenied = answer != null && answer.status() == 402 && fits && inTouch;
            denied.addAndGet(isDenied ? 1 : 0);
            record.add("client gets " + (answer == null ? "a closed connection" : answer.first()) + " for " + id + ", "
                    + events + " events" + (isDenied ? "; it fits: " + consumed + " of " + PREPAID + " consumed" : ""));
        } catch (IOException failure) {
            record.add("client gets " + failure + " for " + id);
        } finally {
            open.decrementAndGet();
        }
    }
}
