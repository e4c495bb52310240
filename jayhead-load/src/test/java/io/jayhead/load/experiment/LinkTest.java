package io.jayhead.load.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import org.junit.jupiter.api.Test;

class LinkTest {

    private static final Duration READ_TIMEOUT = Duration.ofMillis(500);

    private final OkHttpClient http =
            new OkHttpClient.Builder().readTimeout(READ_TIMEOUT).build();

    private String get(Link link) throws Exception {
        Request request =
                new Request.Builder().url("http://127.0.0.1:" + link.port()).build();
        try (Response response = http.newCall(request).execute()) {
            return response.body().string();
        }
    }

    /** Guards against a cut link that answers or refuses connections instead of being silent, or that stays cut. */
    @Test
    void aCutLinkIsSilentUntilItIsJoinedAgain() throws Exception {
        Gate gate = new Gate();
        try (MockWebServer server = new MockWebServer();
                Link link = Link.to(server.getPort(), gate)) {
            for (int count = 0; count < 3; count++) {
                server.enqueue(new MockResponse().setBody("at 127.0.0.1:12345"));
            }
            link.setReplacements(Map.of("127.0.0.1:12345", "127.0.0.1:54321"));
            assertEquals("at 127.0.0.1:54321", get(link));
            gate.shut();
            assertThrows(SocketTimeoutException.class, () -> get(link));
            gate.open();
            assertEquals("at 127.0.0.1:54321", get(link));
        }
    }

    /** Guards against replacements of another length, with which an HTTP body no longer has its declared length. */
    @Test
    void replacementsKeepTheLength() throws Exception {
        try (Link link = Link.to(9, new Gate())) {
            assertThrows(IllegalArgumentException.class, () -> link.setReplacements(Map.of("a:1", "a:12")));
        }
    }
}
