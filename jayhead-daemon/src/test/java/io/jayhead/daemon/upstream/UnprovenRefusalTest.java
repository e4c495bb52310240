package io.jayhead.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.model.fleet.UpstreamSpec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a status that says that a booking has not run, without proof of that from the service: it is passed on
 * as the answer, or the booking is sent once more.
 */
class UnprovenRefusalTest {

    private static final long LIMIT_MS = 5_000;

    private final RawUpstream server = new RawUpstream();
    private final UpstreamHttpClients http = new UpstreamHttpClients();
    private final PlainServiceClient client = new PlainServiceClient(http);

    UnprovenRefusalTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        http.close();
        server.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void aRefusalThatIsNotDocumentedIsNoAnswerAndProvesNothing(int status) throws Exception {
        answer(status, "{\"code\":\"busy\"}");
        assertEquals(new DispatchEvent.Refused(1, status, "busy", false), book());
        assertEquals(1, server.requests());
    }

    /** The HTTP client by itself sends a request again that was answered 503 with this header, a booking too. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "00"})
    void aRefusalThatAllowsAnImmediateRetryIsNotFollowedByOne(String retryAfter) throws Exception {
        server.answer("HTTP/1.1 503 Busy\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n");
        assertEquals(new DispatchEvent.Refused(1, 503, "", false), book());
        assertEquals(1, server.requests());
    }

    @Test
    void aDocumentedRefusalProvesThatTheBookingHasNotRun() throws Exception {
        answer(503, "{\"code\":\"draining\"}");
        assertEquals(new DispatchEvent.Refused(1, 503, "draining", true), book());
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 201, 400, 404, 409, 422})
    void otherAnswersArePassedOnAsTheyAre(int status) throws Exception {
        answer(status, "{\"code\":\"other\"}");
        assertEquals(new DispatchEvent.Answered(1, status, "{\"code\":\"other\"}"), book());
    }

    private void answer(int status, String body) {
        server.answer("HTTP/1.1 " + status + " Status\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private DispatchEvent book() throws Exception {
        UpstreamSpec upstream = TestAttempts.service(server.address());
        AttemptRequest attempt = TestAttempts.first(upstream);
        CompletableFuture<DispatchEvent> event = new CompletableFuture<>();
        client.call(attempt, "POST", "/bookings", "{}".getBytes(StandardCharsets.US_ASCII), event::complete);
        return event.get(LIMIT_MS, TimeUnit.MILLISECONDS);
    }
}
