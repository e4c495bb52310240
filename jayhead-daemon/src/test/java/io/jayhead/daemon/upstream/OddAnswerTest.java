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

/** Guards against bytes of a service in trouble that are no answer in HTTP/1.1, or a part of one, and pass for one. */
class OddAnswerTest {

    private static final String BODY = "{\"booking\":\"b1\"}";
    private static final long LIMIT_MS = 5_000;
    /** More than the socket buffers of a loopback connection hold. */
    private static final int UPLOAD_BYTES = 32 * 1024 * 1024;

    private final RawUpstream server = new RawUpstream();
    private final UpstreamHttpClients http = new UpstreamHttpClients();
    private final PlainServiceClient client = new PlainServiceClient(http);
    private final UpstreamSpec upstream = TestAttempts.service(server.address());

    OddAnswerTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        http.close();
        server.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 999 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 200 OK\r\nOdd Name: x",
                "HTTP/1.1 200 OK\r\nOdd : x",
                "HTTP/1.1 200 OK\r\n Odd: x",
                "HTTP/1.1 200 OK\r\nO\u0001dd: x",
                "HTTP/1.1 200 OK\r\nOdd\u007f: x",
                "HTTP/1.1 200 OK\r\nOdd\u0000: x",
                "HTTP/1.1 200 OK\r\n: x",
                "HTTP/1.1 200 OK\r\nno header",
                "HTTP/1.1 200 OK\r\nOdd: a\u0001b",
                "HTTP/1.1 200 OK\r\nContent Length: 3",
            })
    void anAnswerWithAnOddHeadIsNone(String head) throws Exception {
        server.answer(head + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY);
        assertEquals("ConnectionBroken", call("{}".getBytes(StandardCharsets.US_ASCII)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 201 ", "HTTP/1.1 404 Not Found\r\nsound:x", "HTTP/1.0 200 OK"})
    void anAnswerWithASoundHeadIsPassedOn(String head) throws Exception {
        server.answer(head + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY);
        assertEquals("Answered", call("{}".getBytes(StandardCharsets.US_ASCII)));
    }

    /** The end of the connection would end the answer, but it ended while the service had not read the request. */
    @Test
    void anAnswerWithoutALengthThatIsResetDuringTheUploadIsNotComplete() throws Exception {
        server.answerEarlyAndReset("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"booking\":\"");
        assertEquals("ConnectionBroken", call(new byte[UPLOAD_BYTES]));
    }

    @Test
    void anAnswerWithoutALengthIsCompleteOnceItsRequestWasWritten() throws Exception {
        server.answer("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + BODY);
        assertEquals("Answered", call("{}".getBytes(StandardCharsets.US_ASCII)));
    }

    private String call(byte[] body) throws Exception {
        AttemptRequest attempt = TestAttempts.first(upstream);
        CompletableFuture<DispatchEvent> event = new CompletableFuture<>();
        client.call(attempt, "POST", "/bookings", body, event::complete);
        return event.get(LIMIT_MS, TimeUnit.MILLISECONDS).getClass().getSimpleName();
    }
}
