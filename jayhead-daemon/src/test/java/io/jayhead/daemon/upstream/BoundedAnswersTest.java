package io.jayhead.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.daemon.control.HybridClock;
import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.model.fleet.UpstreamSpec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a router whose memory an upstream in trouble uses up with an answer that has no end. */
class BoundedAnswersTest {

    private static final long LIMIT_MS = 10_000;
    /** Several times the largest answer that is read. */
    private static final long MOST_BYTES = 200L * 1024 * 1024;

    private final RawUpstream server = new RawUpstream();
    private final UpstreamHttpClients http = new UpstreamHttpClients();
    private final UpstreamSpec upstream = TestAttempts.service(server.address());
    private final AttemptRequest attempt = TestAttempts.first(upstream);

    BoundedAnswersTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        http.close();
        server.close();
    }

    @Test
    void anEndlessAnswerOfAServiceIsNone() throws Exception {
        server.answerEndlessly("HTTP/1.1 200 OK\r\n\r\n[", "{},", MOST_BYTES);
        assertEquals(
                "ConnectionBroken",
                firstEvent(events -> new PlainServiceClient(http)
                        .call(attempt, "POST", "/bookings", "{}".getBytes(StandardCharsets.US_ASCII), events)));
    }

    @Test
    void anEndlessErrorOfAnEngineIsNone() throws Exception {
        server.answerEndlessly("HTTP/1.1 503 Service Unavailable\r\n\r\n[", "{},", MOST_BYTES);
        assertEquals(
                "ConnectionBroken",
                firstEvent(events -> new EngineClient(http, HybridClock.system())
                        .generate(attempt, "large", "a prompt", 10, events)));
    }

    @Test
    void anEndlessEventOfAnEngineIsNone() throws Exception {
        server.answerEndlessly("HTTP/1.1 200 OK\r\n\r\ndata: [", "{},", MOST_BYTES);
        assertEquals(
                "ConnectionBroken",
                firstEvent(events -> new EngineClient(http, HybridClock.system())
                        .generate(attempt, "large", "a prompt", 10, events)));
    }

    @Test
    void anEndlessReportOfACancellationHasNoUsage() throws Exception {
        server.answerEndlessly("HTTP/1.1 200 OK\r\n\r\n[", "{},", MOST_BYTES);
        assertEquals(
                "Cancelled",
                firstEvent(events -> new EngineClient(http, HybridClock.system()).cancel(attempt, events)));
    }

    private static String firstEvent(Consumer<Consumer<DispatchEvent>> call) throws Exception {
        BlockingQueue<DispatchEvent> events = new LinkedBlockingQueue<>();
        call.accept(events::add);
        DispatchEvent first = events.poll(LIMIT_MS, TimeUnit.MILLISECONDS);
        return first == null ? "no event" : first.getClass().getSimpleName();
    }
}
