package io.jayhead.daemon.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.config.settings.SettingsParser;
import io.jayhead.daemon.Daemon;
import io.jayhead.daemon.budget.LedgerCodec;
import io.jayhead.daemon.fleet.FleetDocument;
import io.jayhead.daemon.support.FreePorts;
import io.jayhead.model.BudgetId;
import io.jayhead.model.RequestKey;
import io.jayhead.platform.Backoff;
import io.jayhead.platform.CallCounters;
import io.jayhead.platform.HttpObjectStore;
import io.jayhead.platform.ObjectEditor;
import io.jayhead.platform.PlatformTimeouts;
import io.jayhead.platform.RetryPolicy;
import io.jayhead.standins.StandinsMain;
import io.jayhead.standins.http.StandinServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Runs a platform stand-in, an engine stand-in and routers in this process. */
final class TestFleet implements AutoCloseable {

    static final BudgetId BUDGET = BudgetId.of("shop", "main");
    private static final long WAIT_LIMIT_MS = 20_000;
    private static final String FLEET_TEXT = """
            fleet: test
            weights:
              - name: m
            models:
              - name: m
                weights: m
            upstreams:
              - name: %1$s
                type: model_engine
                availability_zone: az-1
                address: %2$s
                checks_fencing: %3$s
            services:
              - name: plan
                kind: long_generation
                upstreams: [%1$s]
                depends_on: [model/m]
                max_output_tokens: 1000
            organisations:
              - name: shop
                api_key_sha256: [%4$s]
            budgets:
              - name: main
                organisation: shop
                services: [plan]
            """;

    final StandinServer platform = StandinsMain.start(status -> {}, "platform", "--vm-lag-ms", "0", "--port", "0");
    final StandinServer engine;
    final HttpObjectStore store =
            new HttpObjectStore(platform.address(), PlatformTimeouts.standard(), new CallCounters());
    final ObjectEditor editor = new ObjectEditor(store, RetryPolicy.of(6, new Backoff(10, 200), () -> 0.5));
    final List<Daemon> daemons = new ArrayList<>();
    private final OkHttpClient client = new OkHttpClient();

    TestFleet(boolean checksFencing) {
        List<String> arguments = new ArrayList<>(
                List.of("engine", "--port", "0", "--models", "m", "--token-ms", "5", "--first-token-ms", "5"));
        if (checksFencing) {
            arguments.add("--check-fencing");
        }
        engine = StandinsMain.start(status -> {}, arguments.toArray(String[]::new));
        String text = text("engine-a", engine.address(), checksFencing);
        store.create("fleet", "current", new FleetDocument(1, "first", text).encode())
                .join();
    }

    static String text(String engine, String address, boolean checksFencing) {
        return FLEET_TEXT.formatted(engine, address, checksFencing, RequestKey.sha256("key"));
    }

    record Router(String vm, Daemon daemon, String callers, String operators, int peers) {}

    Router startRouter(String vm) {
        int callers = FreePorts.next();
        int operators = FreePorts.next();
        int peers = FreePorts.next();
        call("PUT", platform.address() + "/v1/vms/" + vm, "{\"availability_zone\":\"az-1\",\"state\":\"live\"}");
        String settings = String.join(
                "\n",
                "vm: " + vm,
                "availability_zone: az-1",
                "region: r",
                "callers_address: 127.0.0.1:" + callers,
                "operators_address: 127.0.0.1:" + operators,
                "peers_address: 127.0.0.1:" + peers,
                "platform_address: " + platform.address(),
                "operator_credential_sha256: " + RequestKey.sha256("key"),
                "reclaim_after_ms: 300");
        Daemon daemon = new Daemon(SettingsParser.parse(settings).get());
        daemon.start();
        daemons.add(daemon);
        String host = "http://127.0.0.1:";
        String status = host + operators + "/operator/v1/status";
        await(() -> isReady(call("GET", status, null)));
        return new Router(vm, daemon, host + callers, host + operators, peers);
    }

    /** Stops a router without an orderly shutdown and removes its VM from the VM list. */
    void kill(Router router) {
        daemons.remove(router.daemon());
        router.daemon().close();
        call("DELETE", platform.address() + "/v1/vms/" + router.vm(), null);
    }

    void createLedger(BudgetLedger ledger) {
        store.create("budget", BUDGET.objectName(), LedgerCodec.encode(ledger)).join();
    }

    BudgetLedger ledger() {
        return LedgerCodec.decode(
                store.read("budget", BUDGET.objectName()).join().body().orElseThrow());
    }

    JsonNode firstReclaim(Router router) {
        return call("GET", router.operators() + "/operator/v1/status", null)
                .path("reclaims")
                .path(0);
    }

    JsonNode call(String method, String url, String body, String... headers) {
        try (Response response = send(method, url, body, headers)) {
            String text = response.body().string();
            return new ObjectMapper().readTree(text.isEmpty() ? "{}" : text.replaceFirst("(?s)^data: .*", "{}"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Response send(String method, String url, String body, String... headers) {
        Request.Builder request = new Request.Builder()
                .url(url)
                .header("Authorization", "Bearer key")
                .method(method, body == null ? null : RequestBody.create(body.getBytes()));
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        try {
            return client.newCall(request.build()).execute();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + WAIT_LIMIT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("the condition did not hold within " + WAIT_LIMIT_MS + " ms");
            }
            pause(20);
        }
    }

    static void pause(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::close);
        store.close();
        engine.close();
        platform.close();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private static boolean isReady(JsonNode status) {
        return status.path("fresh").asBoolean()
                && status.path("services").path(0).path("ready").asBoolean();
    }
}
