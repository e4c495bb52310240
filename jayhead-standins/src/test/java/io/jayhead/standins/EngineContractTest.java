package io.jayhead.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.jayhead.standins.engine.SyntheticText;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an engine stand-in that deviates from the engine protocol: streams, resume, cancellation, fencing,
 * load reports and cache events. Tests of the routers would then pass or fail for the wrong reason.
 */
class EngineContractTest {

    private static final String PROMPT = "[exact] two words";

    private Fixture engine;

    @AfterEach
    void stop() {
        engine.close();
    }

    /** Guards against streams with missing tokens, wrong token counts or the text of another prompt or model. */
    @Test
    void aStreamHasStartTokensAndDoneWithExactCounts() {
        start();
        List<JsonNode> events = generate("r1", "one two three", 10).events();

        SyntheticText text = SyntheticText.of("m", "one two three");
        int length = text.outputTokens(10);
        assertTrue(length >= 6 && length <= 10, "length " + length);
        assertEquals("{\"start\":true,\"prompt_tokens\":3}", events.get(0).toString());
        for (int i = 0; i < length; i++) {
            assertEquals(i, events.get(i + 1).path("index").asInt());
            assertEquals(text.token(i), events.get(i + 1).path("text").asText());
        }
        assertEquals(
                "{\"done\":true,\"prompt_tokens\":3,\"output_tokens\":" + length + "}",
                events.get(length + 1).toString());
        assertNotEquals(text.token(0), SyntheticText.of("m2", "one two three").token(0));
    }

    /** Guards against tokens that are buffered and delivered together. */
    @Test
    void tokensArriveOneByOne() throws IOException {
        start("--first-token-ms", "0", "--token-ms", "100");
        try (Response response = call("r1", PROMPT, 5).execute()) {
            List<Long> arrivalsMs = new ArrayList<>();
            for (String line = response.body().source().readUtf8Line();
                    line != null;
                    line = response.body().source().readUtf8Line()) {
                if (line.contains("index")) {
                    arrivalsMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
                }
            }
            assertEquals(5, arrivalsMs.size());
            assertTrue(arrivalsMs.get(4) - arrivalsMs.get(0) >= 300, arrivalsMs.toString());
        }
    }

    /** Guards against a second run of a request id while the first is running or after it is done. */
    @ParameterizedTest(name = "sent again after {0} ms")
    @ValueSource(longs = {0, 50, 400})
    void theSameRequestIdJoinsTheFirstRun(long pauseMs) {
        start();
        var first = CompletableFuture.supplyAsync(() -> generate("r1", PROMPT, 20));
        Waiting.until(() -> engine.get("/v1/requests/r1").status() == 200);
        Waiting.sleep(pauseMs);

        assertEquals(generate("r1", PROMPT, 20).body(), first.join().body());
        assertEquals(422, generate("r1", "another prompt", 20).status());
        assertEquals("{\"executions\":{\"r1\":1}}", engine.get("/executions").body());
        assertEquals(
                "{\"prompt_tokens\":3,\"output_tokens\":20,\"runs\":1}",
                engine.get("/v1/totals").body());
    }

    /** Guards against runs that end when their caller disconnects and against resumed streams with missing tokens. */
    @ParameterizedTest(name = "from {0}")
    @CsvSource({"0, 20", "7, 13", "19, 1", "20, 0", "50, 0"})
    void aCutStreamGoesOnAndIsResumed(int from, int tokens) throws IOException {
        start();
        Call call = call("r1", PROMPT, 20);
        call.execute().close();
        call.cancel();

        List<JsonNode> events =
                engine.get("/v1/requests/r1/stream?from=" + from).events();

        assertEquals(tokens, events.stream().filter(e -> e.has("index")).count());
        assertEquals(from, tokens == 0 ? from : events.get(1).path("index").asInt());
        assertTrue(events.get(events.size() - 1).path("done").asBoolean());
        assertEquals(
                "{\"state\":\"done\",\"prompt_tokens\":3,\"output_tokens\":20}",
                engine.get("/v1/requests/r1").body());
    }

    /** Guards against cancelled requests that continue to produce tokens or whose stream ends as if complete. */
    @Test
    void aCancelledRequestStopsAndItsStreamSaysSo() {
        start("--token-ms", "50");
        var stream = CompletableFuture.supplyAsync(() -> generate("r1", PROMPT, 1000));
        Waiting.until(() -> outputTokens("r1") > 0);

        JsonNode cancelled = engine.call("DELETE", "/v1/requests/r1", "").json();

        List<JsonNode> events = stream.join().events();
        assertTrue(events.get(events.size() - 1).path("cancelled").asBoolean());
        assertEquals("cancelled", cancelled.path("state").asText());
        Waiting.sleep(120);
        assertEquals(cancelled.path("output_tokens").asInt(), outputTokens("r1"));
    }

    /** Guards against a batch or queue that exceeds its limit and against ignored priorities. */
    @Test
    void aFullBatchQueuesByPriorityAndRefusesBeyondTheQueue() throws IOException {
        start("--max-batch", "1", "--max-queue", "2", "--load-lag-ms", "0");
        call("running", PROMPT, 1000).execute().close();
        call("low", PROMPT, 1000, "X-Priority", "1").execute().close();
        call("high", PROMPT, 1000, "X-Priority", "9").execute().close();

        Fixture.Answer refused = generate("late", PROMPT, 5);
        assertEquals(503, refused.status());
        assertEquals("overloaded", refused.json().path("code").asText());
        assertEquals(404, engine.get("/v1/requests/late").status());
        JsonNode load = engine.get("/v1/load").json();
        assertEquals(1, load.path("running").asInt());
        assertEquals(2, load.path("queued").asInt());
        engine.call("DELETE", "/v1/requests/running", "");
        Waiting.until(() -> outputTokens("high") > 0);
        assertEquals(0, outputTokens("low"));
    }

    /** Guards against a fenced holder whose requests still run and against fence responses without their usage. */
    @Test
    void raisingTheNumberCancelsTheHoldersRequestsAndRefusesItsOldOnes() throws IOException {
        start("--check-fencing", "--token-ms", "5");
        call("r1", PROMPT, 1000, "X-Fence-Holder", "h", "X-Fence-Number", "1")
                .execute()
                .close();
        call("r2", PROMPT, 1000, "X-Fence-Holder", "other", "X-Fence-Number", "1")
                .execute()
                .close();
        Waiting.until(() -> outputTokens("r1") > 0);

        String fenced =
                engine.post("/v1/fence", "{\"holder\":\"h\",\"number\":2}").body();

        assertEquals(
                "{\"cancelled\":[{\"id\":\"r1\",\"prompt_tokens\":3,\"output_tokens\":" + outputTokens("r1")
                        + "}],\"finished\":[]}",
                fenced);
        assertEquals(
                fenced,
                engine.post("/v1/fence", "{\"holder\":\"h\",\"number\":2}").body());
        assertEquals(
                409, engine.post("/v1/fence", "{\"holder\":\"h\",\"number\":1}").status());
        Fixture.Answer outdated = generate("r3", PROMPT, 2, "X-Fence-Holder", "h", "X-Fence-Number", "1");
        assertEquals(409, outdated.status());
        assertEquals("fenced", outdated.json().path("code").asText());
        assertEquals(
                200,
                generate("r4", PROMPT, 2, "X-Fence-Holder", "h", "X-Fence-Number", "2")
                        .status());
        assertTrue(engine.get("/v1/requests/r2").body().contains("running"));
    }

    /** Guards against outdated requests that survive a fence because a newer request had raised the token already. */
    @Test
    void aFenceCancelsOldRequestsAfterANewerRequestOfTheHolder() throws IOException {
        start("--check-fencing");
        call("r1", PROMPT, 1000, "X-Fence-Holder", "h", "X-Fence-Number", "1")
                .execute()
                .close();
        generate("r2", PROMPT, 1, "X-Fence-Holder", "h", "X-Fence-Number", "2");

        JsonNode fenced =
                engine.post("/v1/fence", "{\"holder\":\"h\",\"number\":2}").json();

        assertEquals("r1", fenced.path("cancelled").path(0).path("id").asText());
    }

    /** Guards against ended requests missing from the fence response, which a reclaim could then not charge. */
    @Test
    void aFenceListsFinishedAndEarlierCancelledRequestsOfTheHolderEachTime() throws IOException {
        start("--check-fencing", "--max-records", "2");
        generate("r1", PROMPT, 2, "X-Fence-Holder", "h", "X-Fence-Number", "1");
        call("r2", PROMPT, 1000, "X-Fence-Holder", "h", "X-Fence-Number", "1")
                .execute()
                .close();
        engine.call("DELETE", "/v1/requests/r2", null);

        String fenced =
                engine.post("/v1/fence", "{\"holder\":\"h\",\"number\":2}").body();

        assertEquals(
                "{\"cancelled\":[{\"id\":\"r2\",\"prompt_tokens\":3,\"output_tokens\":" + outputTokens("r2")
                        + "}],\"finished\":[{\"id\":\"r1\",\"prompt_tokens\":3,\"output_tokens\":2}]}",
                fenced);
        for (String id : List.of("r3", "r4", "r5")) {
            generate(id, PROMPT, 1, "X-Fence-Holder", "other", "X-Fence-Number", "1");
        }
        assertEquals(
                fenced,
                engine.post("/v1/fence", "{\"holder\":\"h\",\"number\":2}").body());
    }

    /** Guards against an engine without fencing that refuses outdated tokens nevertheless. */
    @Test
    void anEngineThatIgnoresFencingRefusesAndCancelsNothing() {
        start();
        engine.post("/v1/fence", "{\"holder\":\"h\",\"number\":2}");

        assertEquals(
                200,
                generate("r1", PROMPT, 2, "X-Fence-Holder", "h", "X-Fence-Number", "1")
                        .status());
    }

    /** Guards against load reports that are newer than their stated age or that have no lag. */
    @Test
    void loadReportsLagAndStateTheirAge() throws IOException {
        start("--load-lag-ms", "800");
        Waiting.until(() -> engine.get("/v1/load").json().path("age_ms").asLong() >= 800);
        call("r1", PROMPT, 1000).execute().close();

        assertEquals(0, engine.get("/v1/load").json().path("running").asInt());
        Waiting.until(() -> engine.get("/v1/load").json().path("running").asInt() == 1);
        assertTrue(engine.get("/v1/load").json().path("age_ms").asLong() >= 800);
    }

    /** Guards against cache events without lag, lost events without a gap, and evictions without an event. */
    @Test
    void cacheEventsComeLateAndTellOfGaps() {
        start("--prefix-cache-entries", "1", "--cache-lag-ms", "1000");
        generate("r1", "first", 1);
        assertEquals(0, cacheEvents(0).path("events").size());
        Waiting.until(() -> cacheEvents(0).path("events").size() == 1);
        String stored = cacheEvents(0).path("events").get(0).path("prefix").asText();
        assertEquals(SyntheticText.prefixKey("m", "first"), stored);

        engine.fault("{\"fault\":\"cache_gap\",\"count\":1}");
        generate("r2", "second", 1);

        Waiting.until(() -> cacheEvents(1).path("events").size() == 1);
        JsonNode page = cacheEvents(1);
        assertTrue(page.path("gap").asBoolean());
        assertEquals(3, page.path("next").asInt());
        assertEquals("stored", page.path("events").get(0).path("operation").asText());
    }

    /** Guards against a prefix cache that saves no time. */
    @Test
    void aCachedPrefixShortensTheFirstToken() {
        start("--prompt-token-us", "25000");
        String prompt = "word ".repeat(40);

        long coldMs = elapsedMs(() -> generate("r1", prompt, 1));
        long warmMs = elapsedMs(() -> generate("r2", prompt, 1));

        assertTrue(coldMs >= 1000, "cold " + coldMs);
        assertTrue(warmMs < coldMs / 2, "warm " + warmMs);
    }

    private static long elapsedMs(Runnable call) {
        long startNanos = System.nanoTime();
        call.run();
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private void start(String... options) {
        List<String> arguments = new ArrayList<>(List.of("engine", "--models", "m"));
        List<String> defaults = List.of("--first-token-ms", "10", "--token-ms", "10");
        if (!List.of(options).contains("--first-token-ms")) {
            arguments.addAll(defaults.subList(0, 2));
        }
        if (!List.of(options).contains("--token-ms")) {
            arguments.addAll(defaults.subList(2, 4));
        }
        arguments.addAll(List.of(options));
        engine = Fixture.of(arguments.toArray(String[]::new));
    }

    private JsonNode cacheEvents(long since) {
        return engine.get("/v1/cache/events?since=" + since).json();
    }

    private int outputTokens(String id) {
        return engine.get("/v1/requests/" + id).json().path("output_tokens").asInt();
    }

    private Fixture.Answer generate(String id, String prompt, int maxTokens, String... headers) {
        return engine.post("/v1/generate", body(prompt, maxTokens), withRequestId(id, headers));
    }

    private Call call(String id, String prompt, int maxTokens, String... headers) {
        return engine.client.newCall(
                engine.request("POST", "/v1/generate", body(prompt, maxTokens), withRequestId(id, headers)));
    }

    private static String[] withRequestId(String id, String... headers) {
        List<String> all = new ArrayList<>(List.of(headers));
        all.addAll(List.of("X-Request-Id", id));
        return all.toArray(String[]::new);
    }

    private static String body(String prompt, int maxTokens) {
        return "{\"model\":\"m\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + maxTokens + "}";
    }
}
