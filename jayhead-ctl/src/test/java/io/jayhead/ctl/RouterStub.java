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

/** A router whose answers to reads and writes are given in order; the last one of each is repeated. */
final class RouterStub implements AutoCloseable {

    /** Stands for the last change id received by any router of the test. */
    static final String LAST_CHANGE = "LAST_CHANGE";

    /** Kept, as a logger without references loses its level. */
    private static final Logger SERVER_LOG = Logger.getLogger(MockWebServer.class.getName());

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final MockWebServer server = new MockWebServer();
    private final List<MockResponse> reads = new CopyOnWriteArrayList<>();
    private final List<MockResponse> writes = new CopyOnWriteArrayList<>();
    final List<RecordedRequest> requests = new CopyOnWriteArrayList<>();
    final List<JsonNode> written = new CopyOnWriteArrayList<>();
    RouterStub changesFrom = this;

    RouterStub() {
        // The lost and silent connections of these tests are no warnings.
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

    static MockResponse lost() {
        return new MockResponse().setSocketPolicy(SocketPolicy.DISCONNECT_AFTER_REQUEST);
    }

    static MockResponse silent() {
        return new MockResponse().setSocketPolicy(SocketPolicy.NO_RESPONSE);
    }

    private MockResponse answer(RecordedRequest request) {
        requests.add(request);
        if (request.getMethod().equals("GET")) {
            return withLastChange(next(reads));
        }
        try {
            written.add(MAPPER.readTree(request.getBody().readUtf8()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return next(writes);
    }

    private MockResponse withLastChange(MockResponse response) {
        List<JsonNode> changes = changesFrom.written;
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
