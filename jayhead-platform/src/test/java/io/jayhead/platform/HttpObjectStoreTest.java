package io.jayhead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.RecordedRequest;
import okhttp3.mockwebserver.SocketPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against answers of the platform that are reported as more certain than they are, and against writes that are
 * sent twice.
 *
 * <p>They come about through timeouts, broken connections, statuses of intermediaries and retries in the HTTP client.
 */
class HttpObjectStoreTest {

    private static final PlatformTimeouts TIMEOUTS = new PlatformTimeouts(300, 300, 300);

    private final CallCounters counters = new CallCounters();
    private MockWebServer server;
    private HttpObjectStore store;

    @BeforeEach
    void start() throws Exception {
        server = new MockWebServer();
        server.start();
        store = new HttpObjectStore(server.url("/").toString(), TIMEOUTS, counters);
    }

    @AfterEach
    void stop() throws Exception {
        store.close();
        server.shutdown();
    }

    static Stream<Arguments> writeFaults() {
        return Stream.of(
                fault("written", tagged(200), new WriteResult.Written(7), false),
                fault(
                        "slow within the timeout",
                        tagged(201).setHeadersDelay(100, TimeUnit.MILLISECONDS),
                        new WriteResult.Written(7),
                        false),
                fault(
                        "cut in the body after the version",
                        tagged(200)
                                .setBody("x".repeat(100_000))
                                .setSocketPolicy(SocketPolicy.DISCONNECT_DURING_RESPONSE_BODY),
                        new WriteResult.Written(7),
                        true),
                fault("condition failed", status(412), new WriteResult.Conflict(), false),
                fault("missing", status(404), new WriteResult.Conflict(), false),
                fault(
                        "rate limit",
                        status(429).setHeader("Retry-After", "2"),
                        new WriteResult.NotWritten("status 429", true, 2_000),
                        true),
                fault("outage", status(503), new WriteResult.NotWritten("status 503", true, 0), true),
                fault(
                        "outage with an immediate retry",
                        status(503).setHeader("Retry-After", "0"),
                        new WriteResult.NotWritten("status 503", true, 0),
                        true),
                fault("too large", status(413), new WriteResult.NotWritten("status 413", false, 0), false),
                fault("no condition", status(428), new WriteResult.NotWritten("status 428", false, 0), false),
                fault("request timeout", status(408), new WriteResult.Unknown("status 408"), false),
                fault("gateway error", status(502), new WriteResult.Unknown("status 502"), true),
                fault("no version", status(200), new WriteResult.Unknown("status 200 without a version"), false),
                fault("timeout", status(200).setSocketPolicy(SocketPolicy.NO_RESPONSE), null, true),
                fault("too slow", tagged(200).setHeadersDelay(600, TimeUnit.MILLISECONDS), null, true),
                fault(
                        "cut after the request",
                        status(200).setSocketPolicy(SocketPolicy.DISCONNECT_AFTER_REQUEST),
                        null,
                        true));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("writeFaults")
    void aWriteIsReportedAsWhatIsCertainAndSentOnce(
            String name, MockResponse response, WriteResult expected, boolean failure) throws Exception {
        server.enqueue(response);
        WriteResult result = store.update("budget", "a.b", 6, "body").get(5, TimeUnit.SECONDS);
        if (expected == null) {
            assertInstanceOf(WriteResult.Unknown.class, result);
        } else {
            assertEquals(expected, result);
        }
        assertEquals(1, server.getRequestCount());
        assertEquals(1, counters.calls(CallKind.UPDATE));
        assertEquals(failure ? 1 : 0, counters.failures(CallKind.UPDATE));
    }

    @Test
    void aRefusedConnectionIsCertainlyNotWritten() throws Exception {
        server.shutdown();
        WriteResult result = store.create("claim", "x", "body").get(5, TimeUnit.SECONDS);
        assertInstanceOf(WriteResult.NotWritten.class, result);
    }

    /** Guards against a client that repeats a write on a new connection when a pooled connection is closed. */
    @Test
    void aWriteCutOnAReusedConnectionIsNotSentAgain() throws Exception {
        server.enqueue(tagged(200));
        server.enqueue(status(200).setSocketPolicy(SocketPolicy.DISCONNECT_AFTER_REQUEST));
        server.enqueue(tagged(200));
        store.create("claim", "x", "body").get(5, TimeUnit.SECONDS);
        WriteResult result = store.create("claim", "y", "body").get(5, TimeUnit.SECONDS);
        assertInstanceOf(WriteResult.Unknown.class, result);
        assertEquals(2, server.getRequestCount());
    }

    static Stream<Arguments> readFaults() {
        return Stream.of(
                Arguments.of("found", tagged(200).setBody("text"), ReadResult.Found.class),
                Arguments.of("missing", status(404), ReadResult.Missing.class),
                Arguments.of("no version", status(200), ReadResult.Unavailable.class),
                Arguments.of("rate limit", status(429), ReadResult.Unavailable.class),
                Arguments.of("outage", status(503), ReadResult.Unavailable.class),
                Arguments.of(
                        "timeout", status(200).setSocketPolicy(SocketPolicy.NO_RESPONSE), ReadResult.Unavailable.class),
                Arguments.of(
                        "cut in the body",
                        tagged(200)
                                .setBody("x".repeat(100_000))
                                .setSocketPolicy(SocketPolicy.DISCONNECT_DURING_RESPONSE_BODY),
                        ReadResult.Unavailable.class));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("readFaults")
    void aReadReportsAbsenceOnlyIfThePlatformSaysSo(String name, MockResponse response, Class<?> expected)
            throws Exception {
        server.enqueue(response);
        assertInstanceOf(expected, store.read("fleet", "current").get(5, TimeUnit.SECONDS));
    }

    @Test
    void requestsCarryTheirConditions() throws Exception {
        server.enqueue(tagged(200));
        server.enqueue(tagged(200));
        server.enqueue(status(204));
        store.create("claim", "a/b", "ä").get(5, TimeUnit.SECONDS);
        store.update("claim", "x", 3, "new").get(5, TimeUnit.SECONDS);
        assertEquals(new WriteResult.Written(0), store.delete("claim", "x", 4).get(5, TimeUnit.SECONDS));
        RecordedRequest create = server.takeRequest();
        assertEquals("PUT /v1/objects/claim/a%2Fb HTTP/1.1", create.getRequestLine());
        assertEquals("*", create.getHeader("If-None-Match"));
        assertEquals("ä", create.getBody().readUtf8());
        assertEquals("\"3\"", server.takeRequest().getHeader("If-Match"));
        assertEquals("\"4\"", server.takeRequest().getHeader("If-Match"));
    }

    /** Guards against a watch from the revision of a later page, which would miss changes to earlier pages. */
    @Test
    void aListReadsAllPagesAndKeepsTheFirstRevision() throws Exception {
        server.enqueue(status(200).setBody(page(10, 0, 100)));
        server.enqueue(status(200).setBody(page(12, 100, 120)));
        ListResult result = store.list("member", "vm").get(5, TimeUnit.SECONDS);
        ListResult.Listed listed = assertInstanceOf(ListResult.Listed.class, result);
        assertEquals(10, listed.revision());
        assertEquals(120, listed.objects().size());
        server.takeRequest();
        assertEquals("n099", server.takeRequest().getRequestUrl().queryParameter("after"));
    }

    @Test
    void aListWithAFailedPageIsUnavailable() throws Exception {
        server.enqueue(status(200).setBody(page(10, 0, 100)));
        server.enqueue(status(503));
        assertInstanceOf(ListResult.Unavailable.class, store.list("member", "").get(5, TimeUnit.SECONDS));
    }

    @Test
    void aWatchMayTakeLongerThanOtherCalls() throws Exception {
        String body = "{\"revision\":9,\"changes\":[{\"name\":\"a\",\"version\":2,\"deleted\":true}]}";
        server.enqueue(status(200).setBody(body).setHeadersDelay(600, TimeUnit.MILLISECONDS));
        WatchResult result = store.watch("fleet", 5, 700).get(5, TimeUnit.SECONDS);
        assertEquals(new WatchResult.Changed(9, java.util.List.of(new ObjectChange("a", 2, true))), result);
    }

    @Test
    void theVmListShowsLeavingVms() throws Exception {
        server.enqueue(status(200)
                .setBody("{\"vms\":[{\"name\":\"vm-1\",\"availability_zone\":\"az-1\",\"state\":\"leaving\"}]}"));
        VmListResult.Listed listed =
                assertInstanceOf(VmListResult.Listed.class, store.listVms().get(5, TimeUnit.SECONDS));
        assertEquals(true, listed.vms().get(0).leaving());
        server.enqueue(status(200).setBody("{\"vms\":[{\"name\":\"vm-1\"}]}"));
        assertInstanceOf(VmListResult.Unavailable.class, store.listVms().get(5, TimeUnit.SECONDS));
    }

    private static Arguments fault(String name, MockResponse response, WriteResult expected, boolean failure) {
        return Arguments.of(name, response, expected, failure);
    }

    private static MockResponse status(int status) {
        return new MockResponse().setResponseCode(status);
    }

    private static MockResponse tagged(int status) {
        return status(status).setHeader("ETag", "\"7\"");
    }

    private static String page(long revision, int from, int until) {
        return IntStream.range(from, until)
                .mapToObj(i -> String.format("{\"name\":\"n%03d\",\"version\":1,\"body\":\"b\"}", i))
                .collect(Collectors.joining(",", "{\"revision\":" + revision + ",\"items\":[", "]}"));
    }
}
