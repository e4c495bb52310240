package io.jayhead.daemon.contract;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.flogger.FluentLogger;
import io.jayhead.config.settings.SettingsParser;
import io.jayhead.daemon.Daemon;
import io.jayhead.daemon.support.FreePorts;
import io.jayhead.model.RequestKey;
import io.jayhead.standins.StandinsMain;
import io.jayhead.standins.http.StandinServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * A test rig that runs one or more routers in this process, with stand-ins for the platform, two engines and a booking
 * service.
 */
final class Rig implements AutoCloseable {

    static final String OPERATOR = "operator-credential";
    static final String SHOP_KEY = "shop-key";
    static final String OTHER_KEY = "other-key";
    static final String POOR_KEY = "poor-key";

    private static final long WAIT_LIMIT_MS = 10_000;
    private static final long POLL_MS = 20;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    final StandinServer platform;
    final StandinServer engineA;
    final StandinServer engineB;
    final StandinServer bookingService;
    private final int callersPort = FreePorts.next();
    private final int otherCallersPort = FreePorts.next();
    private final int operatorsPort = FreePorts.next();
    private final List<Daemon> daemons = new ArrayList<>();
    private final Map<StandinServer, Long> stoppedExecutions = new ConcurrentHashMap<>();
    private int foreignRequests;
    private final List<StandinServer> standins = new ArrayList<>();

    private Rig(RigOptions options) {
        platform =
                startStandin("platform", "--vm-lag-ms", "0", "--writes-per-second", options.platformWritesPerSecond());
        engineA = startStandin(
                "engine",
                "--name",
                "engine-a",
                "--models",
                "large-v3",
                "--check-fencing",
                "--token-ms",
                "10",
                "--first-token-ms",
                "20",
                "--max-batch",
                "2",
                "--max-queue",
                "0",
                "--load-lag-ms",
                "500");
        engineB = startStandin(
                "engine",
                "--name",
                "engine-b",
                "--zone",
                "az-2",
                "--models",
                "large-v3",
                "--check-fencing",
                "--token-ms",
                "10",
                "--first-token-ms",
                "20");
        bookingService = startStandin("booking", "--name", "desk-a", "--delay-ms", options.bookingDelayMs());
        daemons.add(newDaemon("1", callersPort, operatorsPort));
        for (int router = 2; router <= options.routers(); router++) {
            daemons.add(newDaemon(
                    Integer.toString(router), router == 2 ? otherCallersPort : FreePorts.next(), FreePorts.next()));
        }
    }

    static Rig start() {
        return start(RigOptions.standard());
    }

    static Rig start(UnaryOperator<String> fleetText) {
        return start(RigOptions.standard(), fleetText);
    }

    static Rig start(RigOptions options) {
        return start(options, UnaryOperator.identity());
    }

    private static Rig start(RigOptions options, UnaryOperator<String> fleetText) {
        Rig rig = startWithoutFleet(options);
        rig.applyOrThrow(0, "first", fleetText.apply(fleetText(rig)));
        rig.await(() -> rig.callWithoutCredential("/ready").status() == 200 && rig.isServing());
        rig.topUp("shop-1", "first", 1_000_000);
        rig.topUp("shop-2", "first", 1_000_000);
        return rig;
    }

    /** Starts a router without a fleet text. */
    static Rig startWithoutFleet() {
        return startWithoutFleet(RigOptions.standard());
    }

    private static Rig startWithoutFleet(RigOptions options) {
        Rig rig = new Rig(options);
        rig.daemons.forEach(Daemon::start);
        rig.await(() -> rig.liveRouters() == options.routers());
        return rig;
    }

    static String fleetText(Rig rig) {
        return resource("fleet.yaml")
                .replace("@ENGINE_A@", rig.engineA.address())
                .replace("@ENGINE_B@", rig.engineB.address())
                .replace("@DESK_A@", rig.bookingService.address())
                .replace("@CLOSED@", "http://127.0.0.1:" + FreePorts.next())
                .replace("@SHOP_1@", RequestKey.sha256(SHOP_KEY))
                .replace("@SHOP_2@", RequestKey.sha256(OTHER_KEY))
                .replace("@SHOP_3@", RequestKey.sha256(POOR_KEY));
    }

    RawAnswer post(String service, String body) {
        return RawHttp.call(callersPort, "POST", "/v1/services/" + service, SHOP_KEY, body);
    }

    RawAnswer get(String path) {
        return RawHttp.call(callersPort, "GET", "/v1/services/" + path, SHOP_KEY, "");
    }

    int callersPort() {
        return callersPort;
    }

    int otherCallersPort() {
        return otherCallersPort;
    }

    /** Shuts down the first router gracefully. */
    void drain() {
        daemons.get(0).drain();
    }

    /** Calls the operators' interface without a credential. */
    RawAnswer callWithoutCredential(String path) {
        return RawHttp.call(operatorsPort, "GET", path, "", "");
    }

    RawAnswer operator(String method, String path, String credential, String body) {
        return RawHttp.call(operatorsPort, method, "/operator/v1/" + path, credential, body);
    }

    RawAnswer operator(String path) {
        return operator("GET", path, OPERATOR, "");
    }

    RawAnswer apply(long expectedVersion, String changeId, String text) {
        String body = JsonNodeFactory.instance
                .objectNode()
                .put("expected_version", expectedVersion)
                .put("change_id", changeId)
                .put("text", text)
                .toString();
        return operator("PUT", "fleet", OPERATOR, body);
    }

    RawAnswer topUp(String organisation, String id, long tokens) {
        String body = "{\"id\":\"" + id + "\",\"tokens\":" + tokens + "}";
        return operator("POST", "budgets/" + organisation + "/main/topups", OPERATOR, body);
    }

    /** Injects a fault into a stand-in; {@code fields} is the quoted name of the fault, then further JSON fields. */
    void injectFault(StandinServer standin, String fields) {
        RawAnswer answer = standinCall(standin, "POST", "/faults", "{\"fault\":" + fields + "}");
        if (answer.status() != 200) {
            throw new IllegalStateException(answer.body());
        }
    }

    RawAnswer standinCall(StandinServer standin, String method, String path, String body) {
        return RawHttp.call(URI.create(standin.address()).getPort(), method, path, "", body);
    }

    /** Stops a stand-in and closes its connections; its executions up to now still count. */
    void stop(StandinServer standin) {
        stoppedExecutions.put(standin, executions(standin));
        standin.close();
    }

    /** Returns the executions of the routers' requests by all engines and the booking service. */
    long executions() {
        return Stream.of(engineA, engineB, bookingService)
                        .mapToLong(this::executions)
                        .sum()
                - foreignRequests;
    }

    long executions(StandinServer standin) {
        Long stopped = stoppedExecutions.get(standin);
        if (stopped != null) {
            return stopped;
        }
        JsonNode counts = standinCall(standin, "GET", "/executions", "").json().path("executions");
        long sum = 0;
        for (JsonNode count : counts) {
            sum += count.asLong();
        }
        return sum;
    }

    /** Starts a long request of another client at an engine; it is not counted as an execution of a router. */
    void startForeignRequest(StandinServer engine, String id) {
        String body = "{\"model\":\"large-v3\",\"prompt\":\"[exact]\",\"max_tokens\":2000}";
        String request = "POST /v1/generate HTTP/1.1\r\nHost: engine\r\nX-Request-Id: " + id + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
        CountDownLatch started = new CountDownLatch(1);
        Thread reader = new Thread(
                () -> RawHttp.send(URI.create(engine.address()).getPort(), request, chunk -> started.countDown()));
        reader.setDaemon(true);
        reader.start();
        await(() -> started.getCount() == 0);
        foreignRequests++;
    }

    /** Runs an action in the background as soon as an object of a kind is written to the platform. */
    void whenWritten(String kind, Runnable action) {
        String watch = "/v1/watch/" + kind + "?since=" + revision() + "&wait_ms=9000";
        Thread watcher = new Thread(() -> {
            standinCall(platform, "GET", watch, "");
            action.run();
        });
        watcher.setDaemon(true);
        watcher.start();
    }

    private long revision() {
        return standinCall(platform, "GET", "/counters", "")
                .json()
                .path("revision")
                .asLong();
    }

    JsonNode budget() {
        return operator("budgets/shop-1/main").json();
    }

    String incarnation() {
        return operator("status").json().path("incarnation").asText();
    }

    void await(BooleanSupplier condition) {
        long deadlineMs = System.currentTimeMillis() + WAIT_LIMIT_MS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > deadlineMs) {
                throw new AssertionError(
                        "condition not met; status: " + operator("status").body());
            }
            pause(POLL_MS);
        }
    }

    static void pause(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::close);
        for (StandinServer standin : standins) {
            if (!stoppedExecutions.containsKey(standin)) {
                standin.close();
            }
        }
    }

    static String resource(String name) {
        try (InputStream in = Rig.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Creates a router in a separate availability zone. */
    private Daemon newDaemon(String number, int callers, int operators) {
        String settings = """
                vm: vm-%s
                availability_zone: az-%s
                region: test
                callers_address: 127.0.0.1:%d
                operators_address: 127.0.0.1:%d
                peers_address: 127.0.0.1:%d
                platform_address: %s
                operator_credential_sha256: %s
                upstream_poll_ms: 100
                """.formatted(
                number, number, callers, operators, FreePorts.next(), platform.address(), RequestKey.sha256(OPERATOR));
        return new Daemon(SettingsParser.parse(settings).get());
    }

    private StandinServer startStandin(String... arguments) {
        StandinServer server = StandinsMain.start(
                status -> {
                    throw new IllegalStateException("a stand-in must not exit");
                },
                arguments);
        standins.add(server);
        return server;
    }

    private void applyOrThrow(long expectedVersion, String changeId, String text) {
        RawAnswer answer = apply(expectedVersion, changeId, text);
        if (answer.status() != 200) {
            throw new IllegalStateException(answer.body());
        }
    }

    private int liveRouters() {
        return operator("status").json().path("live_routers").size();
    }

    private boolean isServing() {
        for (JsonNode service : operator("status").json().path("services")) {
            if (service.path("name").asText().equals("ask")) {
                return service.path("ready").asBoolean();
            }
        }
        return false;
    }
}
