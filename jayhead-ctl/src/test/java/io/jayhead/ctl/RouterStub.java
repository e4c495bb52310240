package io.jayhead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Level;
import java.util.logging.Logger;
import okhttp3.mockwebserver.Dispatcher;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.RecordedRequest;
import okhttp3.mockwebserver.SocketPolicy;

/** Stands in for a router. Gives the configured answers to reads and writes in order, and repeats the last of each. */
final class RouterStub implements AutoCloseable {

    /** A placeholder in answers to reads, replaced by the id of the last change that {@link #changeSource} received. */
    static final String LAST_CHANGE = "LAST_CHANGE";

    /** Held in a field, because a logger that is garbage-collected loses its level. */
    private static final Logger SERVER_LOG = Logger.getLogger(MockWebServer.class.getName());

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final MockWebServer server = new MockWebServer();
    private final List<MockResponse> reads = new CopyOnWriteArrayList<>();
    private final List<MockResponse> writes = new CopyOnWriteArrayList<>();
    final List<RecordedRequest> requests = new CopyOnWriteArrayList<>();
    final List<JsonNode> writtenBodies = new CopyOnWriteArrayList<>();
    RouterStub changeSource = this;

    RouterStub() {
        // These tests drop connections and leave requests unanswered on purpose, so warnings would only distract.
        SERVER_LOG.setLevel(Level.OFF);
        server.setDispatcher(new Dispatcher() {
            @Override
            public MockResponse dispatch(RecordedRequest request) {
                return answer(request);
            }
        });
        try {
            server.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    RouterStub reads(MockResponse... answers) {
        reads.addAll(List.of(answers));
        return this;
    }

    RouterStub writes(MockResponse... answers) {
        writes.addAll(List.of(answers));
        return this;
    }

    String url() {
        return "http://127.0.0.1:" + server.getPort();
    }

    static MockResponse json(int status, String body) {
        return new MockResponse().setResponseCode(status).setBody(body);
    }

    static MockResponse error(int status, String code, String verdict) {
        return json(status, "{\"error\":{\"code\":\"" + code + "\",\"verdict\":\"" + verdict + "\"}}");
    }

    static MockResponse fleet(long version, String changeId) {
        return json(200, "{\"version\":" + version + ",\"change_id\":\"" + changeId + "\",\"text\":\"\"}");
    }

    static MockResponse lostReply() {
        return new MockResponse().setSocketPolicy(SocketPolicy.DISCONNECT_AFTER_REQUEST);
    }

    static MockResponse noReply() {
        return new MockResponse().setSocketPolicy(SocketPolicy.NO_RESPONSE);
    }

    private MockResponse answer(RecordedRequest request) {
        requests.add(request);
        if (request.getMethod().equals("GET")) {
            return withLastChange(next(reads));
        }
        try {
            writtenBodies.add(MAPPER.readTree(request.getBody().readUtf8()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return next(writes);
    }

    private MockResponse withLastChange(MockResponse response) {
        List<JsonNode> changes = changeSource.writtenBodies;
        if (response.getBody() == null || changes.isEmpty()) {
            return response;
        }
        String changeId = changes.get(changes.size() - 1).path("change_id").asText();
        String body = response.getBody().readUtf8();
        return response.clone().setBody(body.replace(LAST_CHANGE, changeId));
    }

    private static MockResponse next(List<MockResponse> answers) {
        return (answers.size() > 1 ? answers.remove(0) : answers.get(0)).clone();
    }

    @Override
    public void close() throws IOException {
        server.shutdown();
    }
}
