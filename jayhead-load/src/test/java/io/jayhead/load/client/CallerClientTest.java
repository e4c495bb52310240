package io.jayhead.load.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.load.plan.Mix;
import io.jayhead.load.plan.PlanSettings;
import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.load.plan.RequestPlan;
import io.jayhead.model.RequestKind;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.RecordedRequest;
import okhttp3.mockwebserver.SocketPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class CallerClientTest {

    private static final List<PlannedRequest> PLAN = RequestPlan.of(new PlanSettings(Mix.USER1, 20, 30, 1, 1, 0));
    private static final PlannedRequest LABEL = first(RequestKind.SUMMARY);
    private static final PlannedRequest QUESTION = first(RequestKind.INTERACTIVE);
    private static final PlannedRequest BOOKING = first(RequestKind.BOOKING);
    private static final PlannedRequest STATUS = first(RequestKind.STATUS_READ);
    private static final String DONE = "event: done\ndata: {\"usage\":{\"prompt_tokens\":3,\"output_tokens\":4}}\n\n";
    private static final String BROKEN = "{\"code\":\"stream_broken\",\"verdict\":\"may_have_run\"}";

    /** Silenced below SEVERE: the server warns of each connection left unanswered, which one test does on purpose. */
    private static final Logger SERVER_LOG = Logger.getLogger(MockWebServer.class.getName());

    static {
        SERVER_LOG.setLevel(Level.SEVERE);
    }

    private static PlannedRequest first(RequestKind kind) {
        return PLAN.stream()
                .filter(request -> request.kind() == kind)
                .findFirst()
                .orElseThrow();
    }

    private static String tokenEvents(PlannedRequest request) {
        String[] words = ExpectedText.of(request).split(" ");
        StringBuilder events = new StringBuilder();
        for (int index = 0; index < words.length; index++) {
            events.append("event: token\ndata: {\"index\":" + index + ",\"text\":\"" + words[index] + " \"}\n\n");
        }
        return events.toString();
    }

    private static MockResponse stream(String body) {
        return new MockResponse().setHeader("Content-Type", "text/event-stream").setBody(body);
    }

    private static MockResponse json(int status, String body) {
        return new MockResponse().setResponseCode(status).setBody(body);
    }

    private static MockResponse error(int status, String verdict) {
        return json(status, "{\"error\":{\"code\":\"some_code\",\"verdict\":\"" + verdict + "\"}}");
    }

    private static PlannedRequest arrivingAtOnce(PlannedRequest request) {
        return new PlannedRequest(
                0,
                request.shape(),
                request.organisation(),
                request.service(),
                0,
                request.key(),
                request.prompt(),
                request.maxTokens(),
                false);
    }

    private static Outcome send(PlannedRequest request, MockResponse response) throws Exception {
        try (MockWebServer router = new MockWebServer()) {
            router.enqueue(response);
            String address = router.url("/").toString();
            try (CallerClient client = new CallerClient(List.of(address), Map.of(request.organisation(), "k"), 2_000)) {
                return new OpenLoop(List.of(arrivingAtOnce(request)), client)
                        .run(5_000)
                        .get(0)
                        .outcome();
            }
        }
    }

    static Stream<Arguments> answers() {
        String label = ExpectedText.of(LABEL);
        return Stream.of(
                Arguments.of(LABEL, json(200, "{\"text\":\"" + label + "\"}"), OutcomeType.WHOLE, ""),
                Arguments.of(LABEL, json(200, "{\"text\":\"" + label + "x\"}"), OutcomeType.WRONG, "other_text"),
                Arguments.of(LABEL, error(402, "not_run"), OutcomeType.REFUSED, "some_code"),
                Arguments.of(LABEL, error(504, "may_have_run"), OutcomeType.MAY_HAVE_RUN, "some_code"),
                Arguments.of(LABEL, error(502, "ran"), OutcomeType.BROKEN, "some_code"),
                Arguments.of(LABEL, json(500, "{}"), OutcomeType.BROKEN, "http_500"),
                Arguments.of(
                        LABEL,
                        new MockResponse().setSocketPolicy(SocketPolicy.DISCONNECT_AFTER_REQUEST),
                        OutcomeType.BROKEN,
                        "no_answer"),
                Arguments.of(QUESTION, stream(tokenEvents(QUESTION) + DONE), OutcomeType.WHOLE, ""),
                Arguments.of(QUESTION, stream(tokenEvents(QUESTION)), OutcomeType.BROKEN, "stream_cut"),
                Arguments.of(QUESTION, stream(tokenEvents(LABEL) + DONE), OutcomeType.WRONG, "other_text"),
                Arguments.of(
                        QUESTION,
                        stream("event: token\ndata: {\"index\":1,\"text\":\"a \"}\n\n"),
                        OutcomeType.WRONG,
                        "token_index"),
                Arguments.of(
                        QUESTION,
                        stream(tokenEvents(QUESTION) + "event: error\ndata: " + BROKEN + "\n\n"),
                        OutcomeType.BROKEN,
                        "stream_broken"),
                Arguments.of(
                        QUESTION,
                        stream("event: error\ndata: {\"error\":" + BROKEN + "}\n\n"),
                        OutcomeType.MAY_HAVE_RUN,
                        "stream_broken"),
                Arguments.of(BOOKING, json(201, "{\"order\":\"" + BOOKING.key() + "\"}"), OutcomeType.WHOLE, ""),
                Arguments.of(BOOKING, json(201, "{\"order\":\"another\"}"), OutcomeType.WRONG, "other_order"),
                Arguments.of(STATUS, json(404, "{\"code\":\"not_found\"}"), OutcomeType.WHOLE, ""),
                Arguments.of(STATUS, error(404, "not_run"), OutcomeType.REFUSED, "some_code"));
    }

    /** Guards against answers counted under another outcome than their caller experiences. */
    @ParameterizedTest
    @MethodSource("answers")
    void eachAnswerHasItsOutcome(PlannedRequest request, MockResponse response, OutcomeType type, String code)
            throws Exception {
        Outcome outcome = send(request, response);
        assertEquals(type, outcome.type());
        assertEquals(code, outcome.code());
    }

    /** Guards against times that start with the first byte and so omit the wait for it. */
    @Test
    void timesCountFromThePlannedArrival() throws Exception {
        MockResponse delayed = stream(tokenEvents(QUESTION) + DONE).setHeadersDelay(300, TimeUnit.MILLISECONDS);
        Outcome outcome = send(QUESTION, delayed);
        assertTrue(outcome.firstTokenNs() >= 300_000_000, "first token after " + outcome.firstTokenNs());
        assertTrue(outcome.answerNs() >= outcome.firstTokenNs());
        assertEquals(
                ExpectedText.of(QUESTION).split(" ").length - 1,
                outcome.gapsNs().size());
        assertEquals(7, outcome.billableTokens());
    }

    /** Guards against requests that fail only because one of several routers is down. */
    @Test
    void aRefusedConnectionGoesToTheNextRouter() throws Exception {
        try (MockWebServer stopped = new MockWebServer();
                MockWebServer next = new MockWebServer()) {
            String stoppedAddress = stopped.url("/").toString();
            stopped.shutdown();
            next.enqueue(json(404, "{}"));
            List<PlannedRequest> plan = List.of(arrivingAtOnce(STATUS));
            try (CallerClient client =
                    new CallerClient(List.of(stoppedAddress, next.url("/").toString()), Map.of(), 2_000)) {
                assertEquals(
                        OutcomeType.WHOLE,
                        new OpenLoop(plan, client).run(5_000).get(0).outcome().type());
            }
            try (CallerClient client = new CallerClient(List.of(stoppedAddress), Map.of(), 2_000)) {
                Outcome outcome = new OpenLoop(plan, client).run(5_000).get(0).outcome();
                assertEquals(OutcomeType.UNREACHABLE, outcome.type());
            }
        }
    }

    /**
     * Guards against a loop that waits for answers before it sends on: a stall would then lower the load and stay
     * hidden.
     */
    @Test
    void aSilentRouterDoesNotDelayLaterRequests() throws Exception {
        try (MockWebServer router = new MockWebServer()) {
            List<PlannedRequest> plan = PLAN.subList(0, 40);
            plan.forEach(request -> router.enqueue(new MockResponse().setSocketPolicy(SocketPolicy.NO_RESPONSE)));
            try (CallerClient client = new CallerClient(List.of(router.url("/").toString()), Map.of(), 60_000)) {
                List<Result> results = new OpenLoop(plan, client).run(300);
                assertTrue(results.stream().allMatch(result -> result.outcome().type() == OutcomeType.UNFINISHED));
            }
            for (int count = 0; count < plan.size(); count++) {
                RecordedRequest request = router.takeRequest(2, TimeUnit.SECONDS);
                assertTrue(request != null, "only " + count + " requests arrived");
            }
        }
    }
}
