package io.jayhead.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.model.fleet.UpstreamSpec;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import okhttp3.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a call that gets the answer to an earlier one, or a mixture of the two, because the service wrote a
 * part or the whole of that answer once more on a pooled connection.
 */
class RepeatedAnswerTest {

    private static final String FIRST = answer("200 OK", "{\"booking\":\"first\"}");
    private static final String SECOND = answer("409 Conflict", "{\"booking\":\"second\"}");
    private static final long SETTLE_MS = 10;
    private static final long ANSWER_MS = 300;

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final UpstreamHttpClients http = new UpstreamHttpClients();
    private final PlainServiceClient client = new PlainServiceClient(http);
    private final UpstreamSpec upstream = TestAttempts.service("http://127.0.0.1:" + server.getLocalPort());
    private volatile When when;
    private volatile String copy;

    RepeatedAnswerTest() throws IOException {
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    @AfterEach
    void stop() throws IOException {
        http.close();
        server.close();
    }

    /** When the copy of the first answer is written. */
    private enum When {
        WITH_THE_ANSWER,
        WHILE_IDLE,
        BEFORE_THE_NEXT_ANSWER
    }

    @Test
    void anEarlierAnswerMakesNoSuccessOfAFailure() throws Exception {
        List<String> wrong = new ArrayList<>();
        for (When written : When.values()) {
            List<Integer> lengths = new ArrayList<>();
            for (int copiedBytes = 1; copiedBytes <= FIRST.length(); copiedBytes++) {
                if (secondAnswer(written, copiedBytes).equals("200")) {
                    lengths.add(copiedBytes);
                }
            }
            if (!lengths.isEmpty()) {
                wrong.add(written + ": " + lengths.size() + " of " + FIRST.length() + " lengths: " + lengths);
            }
        }
        assertTrue(wrong.isEmpty(), wrong.toString());
    }

    private String secondAnswer(When written, int copiedBytes) throws Exception {
        http.dropPool(upstream.name());
        when = written;
        copy = FIRST.substring(0, copiedBytes);
        assertEquals("200", call("/first"));
        Thread.sleep(2 * SETTLE_MS);
        return call("/second");
    }

    private String call(String path) throws Exception {
        AttemptRequest attempt = TestAttempts.pooled(upstream, path);
        CompletableFuture<DispatchEvent> event = new CompletableFuture<>();
        Call call = client.call(attempt, "POST", path, "{}".getBytes(StandardCharsets.US_ASCII), event::complete);
        try {
            DispatchEvent received = event.get(ANSWER_MS, TimeUnit.MILLISECONDS);
            return received instanceof DispatchEvent.Answered answered
                    ? Integer.toString(answered.httpStatus())
                    : received.toString();
        } catch (TimeoutException silent) {
            call.cancel();
            return "no answer";
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // The test has ended.
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            OutputStream output = socket.getOutputStream();
            boolean answeredFirst = false;
            for (String path = path(socket.getInputStream()); !path.isEmpty(); path = path(socket.getInputStream())) {
                if (path.equals("/first")) {
                    write(output, when == When.WITH_THE_ANSWER ? FIRST + copy : FIRST);
                    if (when == When.WHILE_IDLE) {
                        Thread.sleep(SETTLE_MS);
                        write(output, copy);
                    }
                } else {
                    write(output, when == When.BEFORE_THE_NEXT_ANSWER && answeredFirst ? copy : "");
                    Thread.sleep(SETTLE_MS);
                    write(output, SECOND);
                }
                answeredFirst = true;
            }
        } catch (IOException | InterruptedException closed) {
            // The client closed the connection.
            return;
        }
    }

    private static String path(InputStream input) throws IOException {
        StringBuilder request = new StringBuilder();
        while (!request.toString().endsWith("\r\n\r\n{}")) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            request.append((char) next);
        }
        return request.toString().split(" ")[1];
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    private static String answer(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }
}
