package io.jayhead.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.daemon.control.HybridClock;
import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.model.fleet.UpstreamSpec;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a stream that its engine ends in the middle of an event and that counts as a complete generation. */
class StreamEndTest {

    private static final String TOKEN = "data: {\"index\":0,\"text\":\"a\"}\n\n";
    private static final String DONE = "data: {\"done\":true,\"prompt_tokens\":3,\"output_tokens\":1}\n\n";
    private static final long LIMIT_MS = 2_000;

    private final RawUpstream server = new RawUpstream();
    private final UpstreamHttpClients http = new UpstreamHttpClients();
    private final EngineClient client = new EngineClient(http, HybridClock.system());
    private final UpstreamSpec upstream = TestAttempts.engine(server.address());

    StreamEndTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        http.close();
        server.close();
    }

    @Test
    void aStreamThatEndsInsideItsLastEventIsBrokenOff() throws Exception {
        for (int length = 1; length < DONE.length(); length++) {
            List<String> events = eventsOf(TOKEN + DONE.substring(0, length));
            assertEquals(List.of("TokenReceived", "ConnectionBroken"), events, "after " + length + " bytes");
        }
    }

    @Test
    void aStreamThatEndsInsideATokenDoesNotPassItOn() throws Exception {
        for (int length = 1; length < TOKEN.length(); length++) {
            assertEquals(
                    List.of("ConnectionBroken"), eventsOf(TOKEN.substring(0, length)), "after " + length + " bytes");
        }
    }

    @Test
    void aStreamOfWholeEventsIsComplete() throws Exception {
        assertEquals(List.of("TokenReceived", "Done"), eventsOf(TOKEN + DONE));
    }

    /** Calls the engine, which ends its chunked answer after the given bytes. */
    private List<String> eventsOf(String stream) throws Exception {
        server.answer("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(stream.length()) + "\r\n" + stream + "\r\n0\r\n\r\n");
        AttemptRequest attempt = TestAttempts.first(upstream);
        BlockingQueue<DispatchEvent> received = new LinkedBlockingQueue<>();
        client.generate(attempt, "large", "a prompt", 10, received::add);
        List<String> events = new ArrayList<>();
        String last = "";
        while (!last.equals("Done") && !last.equals("ConnectionBroken")) {
            DispatchEvent event = received.poll(LIMIT_MS, TimeUnit.MILLISECONDS);
            last = event == null ? "ConnectionBroken" : event.getClass().getSimpleName();
            events.add(event == null ? "no event" : last);
        }
        return events;
    }
}
