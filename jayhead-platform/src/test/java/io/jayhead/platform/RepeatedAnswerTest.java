package io.jayhead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a write that is taken for done although the platform refused it, because the platform wrote the answer
 * to an earlier call once more on a pooled connection.
 */
class RepeatedAnswerTest {

    private static final byte[] DONE_TWICE = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}"
            .repeat(2)
            .getBytes(StandardCharsets.US_ASCII);
    private static final byte[] REFUSED =
            "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);
    private static final long TIMEOUT_MS = 1_000;

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final HttpCaller caller = new HttpCaller(TIMEOUT_MS, new CallCounters());

    RepeatedAnswerTest() throws IOException {
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        server.close();
    }

    @Test
    void aCopyOfAnEarlierAnswerIsNotTheAnswerToTheNextCall() throws Exception {
        assertEquals(200, put("first").status());
        assertEquals(412, put("second").status());
    }

    private HttpAnswer put(String name) throws Exception {
        Request.Builder request = new Request.Builder()
                .url("http://127.0.0.1:" + server.getLocalPort() + "/" + name)
                .put(RequestBody.create("{}".getBytes(StandardCharsets.US_ASCII)));
        return caller.send(CallKind.UPDATE, request, TIMEOUT_MS).get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
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

    private static void serve(Socket socket) {
        try (socket) {
            for (String request = next(socket.getInputStream());
                    !request.isEmpty();
                    request = next(socket.getInputStream())) {
                socket.getOutputStream().write(request.startsWith("PUT /first") ? DONE_TWICE : REFUSED);
            }
        } catch (IOException closed) {
            // The client closed the connection.
            return;
        }
    }

    /** Reads a request with the body {@code {}}; the result at the end of the connection is empty. */
    private static String next(InputStream input) throws IOException {
        StringBuilder request = new StringBuilder();
        while (!request.toString().endsWith("\r\n\r\n{}")) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            request.append((char) next);
        }
        return request.toString();
    }
}
