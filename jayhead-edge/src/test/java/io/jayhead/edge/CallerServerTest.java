package io.jayhead.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/**
 * Guards against a broken stream that looks complete because its final chunk is sent, or that lacks its error event
 * because the connection closes first. Also guards against a caller's disconnect that goes unnoticed, and against
 * requests and errors that lose information on their way through Jooby.
 */
class CallerServerTest {

    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    void aWholeStreamEndsCleanly() throws Exception {
        int port = freePort();
        try (CallerServer server = CallerServer.start(address(port), (request, response) -> {
            response.startStream();
            response.sendEvent("token", "{\"index\":0,\"text\":\"a\"}");
            response.sendEvent("done", "{}");
            response.endStream();
        })) {
            HttpResponse<String> answer = post(port, "/v1/services/plan", "{}");
            Approvals.verify(answer.statusCode() + " "
                    + answer.headers().firstValue("content-type").orElse("") + "\n" + answer.body());
        }
    }

    @Test
    void aBrokenStreamDeliversItsErrorEventAndThenAnAbortedConnection() throws Exception {
        int port = freePort();
        try (CallerServer server = CallerServer.start(address(port), (request, response) -> {
                    response.startStream();
                    response.sendEvent("error", "{}");
                    response.abort();
                });
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            assertThrows(IOException.class, () -> post(port, "/v1/services/plan", "{}"));
            socket.getOutputStream()
                    .write("POST /v1/services/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            String raw = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(raw.contains("event: error"), raw);
            assertTrue(!raw.endsWith("0\r\n\r\n"), "the final chunk marks the stream as complete: " + raw);
        }
    }

    @Test
    void aCallerThatGoesAwayIsNoticed() throws Exception {
        int port = freePort();
        CountDownLatch closed = new CountDownLatch(1);
        try (CallerServer server = CallerServer.start(address(port), (request, response) -> {
            response.onClose(closed::countDown);
            response.startStream();
            response.sendEvent("token", "{}");
        })) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.getOutputStream()
                        .write("POST /v1/services/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().read();
            }
            assertTrue(closed.await(5, TimeUnit.SECONDS));
        }
    }

    @Test
    void anUnknownPathIsAnsweredWithTheErrorDocument() throws Exception {
        int port = freePort();
        try (CallerServer server = CallerServer.start(address(port), (request, response) -> {})) {
            HttpResponse<String> answer = post(port, "/v2/unknown", "{}");
            Approvals.verify(answer.statusCode() + "\n" + answer.body());
        }
    }

    @Test
    void thePartsOfARequestReachTheHandler() throws Exception {
        int port = freePort();
        try (CallerServer server = CallerServer.start(address(port), (request, response) -> {
            String text = String.join(
                    " ",
                    request.method(),
                    request.service(),
                    request.subPath(),
                    request.bearerCredential().orElse("-"));
            response.send(200, "text/plain", text.getBytes(StandardCharsets.UTF_8));
        })) {
            HttpRequest get = HttpRequest.newBuilder(uri(port, "/v1/services/desk/bookings/17"))
                    .header("Authorization", "Bearer secret")
                    .build();
            String body = client.send(get, HttpResponse.BodyHandlers.ofString()).body();
            assertEquals("GET desk bookings/17 secret", body);
        }
    }

    private HttpResponse<String> post(int port, String path, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(uri(port, path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static URI uri(int port, String path) {
        return URI.create("http://127.0.0.1:" + port + path);
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
