package io.jayhead.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against injected faults that do not happen, affect other requests or do not end. Scenarios and recovery tests
 * would then pass without the failure that they are about.
 */
class FaultContractTest {

    enum Target {
        PLATFORM("PUT", "/v1/objects/k/a", "x", "/v1/objects/k/a", "/v1/objects/other"),
        ENGINE(
                "POST",
                "/v1/generate",
                "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":3}",
                "/v1/requests/r1",
                "/v1/load"),
        BOOKING("POST", "/bookings", "{\"order\":\"o\"}", "/bookings/o", "/v1/load");

        final String method;
        final String writePath;
        final String body;
        final String readPath;
        final String otherPath;

        Target(String method, String writePath, String body, String readPath, String otherPath) {
            this.method = method;
            this.writePath = writePath;
            this.body = body;
            this.readPath = readPath;
            this.otherPath = otherPath;
        }

        Fixture start() {
            return Fixture.of(name().toLowerCase());
        }

        Fixture.Answer write(Fixture fixture) {
            return fixture.call(method, writePath, body, "If-None-Match", "*", "X-Request-Id", "r1");
        }
    }

    /** Guards against an outage that affects another path, outlasts the clear, or executes the write. */
    @ParameterizedTest
    @EnumSource
    void anOutageAnswers503OnItsPathOnlyUntilCleared(Target target) {
        try (Fixture fixture = target.start()) {
            fixture.fault("{\"fault\":\"outage\",\"path\":\"" + target.writePath + "\"}");

            assertEquals(503, target.write(fixture).status());
            assertEquals(200, fixture.get(target.otherPath).status());
            fixture.fault("{\"fault\":\"clear\"}");
            assertEquals(404, fixture.get(target.readPath).status());
            assertTrue(target.write(fixture).status() < 300);
        }
    }

    /** Guards against a dropped reply whose write did not take effect, and against more drops than injected. */
    @ParameterizedTest
    @EnumSource
    void aDroppedReplyFollowsItsWrite(Target target) {
        try (Fixture fixture = target.start()) {
            fixture.fault("{\"fault\":\"drop_reply\",\"count\":1,\"path\":\"/nowhere\"}");
            fixture.fault("{\"fault\":\"drop_reply\",\"count\":1,\"path\":\"" + target.writePath + "\"}");

            assertTrue(failsWithIoException(() -> target.write(fixture)));
            assertEquals(200, fixture.get(target.readPath).status());
            int expected = target == Target.PLATFORM ? 412 : target == Target.ENGINE ? 200 : 201;
            assertEquals(expected, target.write(fixture).status());
        }
    }

    /** Guards against delays that are too short and against faults that outlast their duration. */
    @ParameterizedTest(name = "{1} of {0}")
    @CsvSource({
        "PLATFORM, '{\"fault\":\"slow\",\"delay_ms\":300,\"duration_ms\":1000}'",
        "ENGINE,   '{\"fault\":\"slow\",\"delay_ms\":300,\"duration_ms\":1000}'",
        "BOOKING,  '{\"fault\":\"slow\",\"delay_ms\":300,\"duration_ms\":1000}'",
        "PLATFORM, '{\"fault\":\"freeze\",\"duration_ms\":300}'",
        "ENGINE,   '{\"fault\":\"freeze\",\"duration_ms\":300}'",
        "BOOKING,  '{\"fault\":\"freeze\",\"duration_ms\":300}'",
    })
    void slowAndFrozenStandinsAnswerLateAndThenRecover(Target target, String fault) {
        try (Fixture fixture = target.start()) {
            long elapsedMs = elapsedMs(() -> {
                fixture.fault(fault);
                fixture.get(target.otherPath);
            });

            assertTrue(elapsedMs >= 300, "answered after " + elapsedMs + " ms");
            Waiting.until(() -> elapsedMs(() -> fixture.get(target.otherPath)) < 200);
        }
    }

    /** Guards against a frozen service that executes a request before the freeze ends. */
    @Test
    void aFrozenServiceExecutesOnlyAfterItWakes() {
        try (Fixture booking = Fixture.of("booking")) {
            booking.fault("{\"fault\":\"freeze\",\"duration_ms\":1500,\"path\":\"/bookings\"}");
            var answer = CompletableFuture.supplyAsync(() -> booking.post("/bookings", "{\"order\":\"o\"}"));
            Waiting.sleep(200);

            assertEquals("{\"executions\":{}}", booking.get("/executions").body());
            assertEquals(201, answer.join().status());
        }
    }

    /** Guards against a frozen engine that continues to produce tokens or does not resume after the freeze. */
    @Test
    void aFrozenEnginePausesItsStreams() {
        try (Fixture engine = Fixture.of("engine", "--first-token-ms", "0", "--token-ms", "10")) {
            String body = "{\"model\":\"m\",\"prompt\":\"[exact]\",\"max_tokens\":60}";
            var answer = CompletableFuture.supplyAsync(() -> engine.post("/v1/generate", body, "X-Request-Id", "r1"));
            Waiting.until(() -> producedTokens(engine) > 5);

            engine.fault("{\"fault\":\"freeze\",\"duration_ms\":1500}");
            Waiting.sleep(50);
            long beforeTokens = producedTokens(engine);
            Waiting.sleep(250);

            assertEquals(beforeTokens, producedTokens(engine));
            assertEquals(62, answer.join().events().size());
        }
    }

    /** Guards against silent connections that still respond or close, and against new connections that are silent. */
    @ParameterizedTest
    @EnumSource
    void openConnectionsGoSilentWhileNewOnesWork(Target target) throws IOException {
        try (Fixture fixture = target.start();
                Socket openConnection = connect(fixture)) {
            assertTrue(sendGet(openConnection, target.otherPath).startsWith("HTTP/1.1 200"));

            fixture.fault("{\"fault\":\"silent\"}");

            assertTrue(timesOut(openConnection, target.otherPath));
            assertEquals(200, fixture.get(target.otherPath).status());
            fixture.fault("{\"fault\":\"clear\"}");
            assertTrue(timesOut(openConnection, target.otherPath));
            try (Socket newConnection = connect(fixture)) {
                assertTrue(sendGet(newConnection, target.otherPath).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** Guards against a stream that continues on a silent connection and against a run that stops with it. */
    @Test
    void aSilentStreamStopsMidwayAndItsRunGoesOn() throws IOException {
        try (Fixture engine = Fixture.of("engine", "--first-token-ms", "0", "--token-ms", "20");
                Socket openConnection = connect(engine)) {
            String body = "{\"model\":\"m\",\"prompt\":\"[exact]\",\"max_tokens\":100}";
            send(
                    openConnection,
                    "POST /v1/generate HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body);
            assertTrue(openConnection.getInputStream().read() >= 0);

            engine.fault("{\"fault\":\"silent\",\"path\":\"/v1/generate\"}");
            Waiting.until(() -> engine.get("/v1/requests/r1").body().contains("done"));

            String received = readUntilTimeout(openConnection);
            assertTrue(!received.contains("done"), received);
        }
    }

    /** Guards against an engine or booking service that accepts new work while it is draining. */
    @ParameterizedTest
    @EnumSource(names = {"ENGINE", "BOOKING"})
    void aDrainingUpstreamRefusesNewWorkAndSaysSo(Target target) {
        try (Fixture fixture = Fixture.of(target.name().toLowerCase())) {
            fixture.fault("{\"fault\":\"draining\"}");

            Fixture.Answer refused = target.write(fixture);

            assertEquals(503, refused.status());
            assertEquals("draining", refused.json().path("code").asText());
            assertEquals(404, fixture.get(target.readPath).status());
            Waiting.until(() -> fixture.get("/v1/load").json().path("draining").asBoolean());
        }
    }

    /** Guards against a process that survives the fault {@code die}. */
    @ParameterizedTest
    @EnumSource
    void dieEndsTheProcessWithAStatus(Target target) {
        try (Fixture fixture = target.start()) {
            fixture.fault("{\"fault\":\"die\"}");
            Waiting.until(() -> fixture.exitStatus.get() == 1);
        }
    }

    /** Guards against misspelt or unsupported faults that are accepted without effect. */
    @ParameterizedTest
    @CsvSource({"PLATFORM, outagee", "PLATFORM, draining", "BOOKING, cache_gap", "ENGINE, ''"})
    void anUnknownFaultIsRefused(Target target, String fault) {
        try (Fixture fixture = target.start()) {
            assertEquals(400, fixture.fault("{\"fault\":\"" + fault + "\"}").status());
        }
    }

    private static long producedTokens(Fixture engine) {
        return engine.get("/v1/totals").json().path("output_tokens").asLong();
    }

    static boolean failsWithIoException(Runnable call) {
        try {
            call.run();
            return false;
        } catch (UncheckedIOException e) {
            return true;
        }
    }

    private static long elapsedMs(Runnable call) {
        long startNanos = System.nanoTime();
        call.run();
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static Socket connect(Fixture fixture) throws IOException {
        Socket socket =
                new Socket("127.0.0.1", URI.create(fixture.server.address()).getPort());
        socket.setSoTimeout(500);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String sendGet(Socket socket, String path) throws IOException {
        send(socket, "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        byte[] buffer = new byte[4096];
        int length = socket.getInputStream().read(buffer);
        return length < 0 ? "closed" : new String(buffer, 0, length, StandardCharsets.UTF_8);
    }

    private static boolean timesOut(Socket socket, String path) throws IOException {
        try {
            sendGet(socket, path);
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    private static String readUntilTimeout(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        InputStream input = socket.getInputStream();
        byte[] buffer = new byte[4096];
        try {
            for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
                received.append(new String(buffer, 0, length, StandardCharsets.UTF_8));
            }
        } catch (SocketTimeoutException e) {
            return received.toString();
        }
        return received + "closed, but must stay open: done";
    }
}
