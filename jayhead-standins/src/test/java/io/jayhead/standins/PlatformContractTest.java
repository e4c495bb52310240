package io.jayhead.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a platform stand-in that deviates from the platform in conditional writes, versions, lists, watches,
 * the lag of the VM list or rate limits. Tests of the routers would then miss conflicts and refusals.
 */
class PlatformContractTest {

    private Fixture platform;

    @BeforeEach
    void start() {
        platform = Fixture.of("platform", "--port", "0", "--vm-lag-ms", "1000", "--history-entries", "5");
    }

    @AfterEach
    void stop() {
        platform.close();
    }

    /** Guards against a write that takes effect although its condition does not hold. */
    @ParameterizedTest(name = "{0} {1} with {2}: {3} answers {4}")
    @CsvSource({
        "PUT,    there, If-None-Match, *,          412",
        "PUT,    there, If-Match,      '\"1\"',    200",
        "PUT,    there, If-Match,      '\"9\"',    412",
        "PUT,    there, If-Match,      1,          400",
        "PUT,    there, X-None,        *,          428",
        "PUT,    gone,  If-None-Match, *,          201",
        "PUT,    gone,  If-Match,      '\"1\"',    412",
        "DELETE, there, If-Match,      '\"1\"',    204",
        "DELETE, there, If-Match,      '\"2\"',    412",
        "DELETE, there, X-None,        *,          428",
        "DELETE, gone,  If-Match,      '\"1\"',    404",
    })
    void writesTakeEffectOnlyUnderTheirCondition(String method, String name, String header, String value, int status) {
        create("there", "old");

        Fixture.Answer answer = platform.call(method, "/v1/objects/k/" + name, "new", header, value);

        assertEquals(status, answer.status());
        boolean changed = status < 300;
        assertEquals(
                changed ? 2 : 1,
                platform.get("/v1/objects/k").json().path("revision").asLong());
        if (!changed) {
            assertEquals("old", platform.get("/v1/objects/k/there").body());
        }
    }

    /** Guards against a re-created object that reuses a version, which would let a stale writer overwrite it. */
    @Test
    void aRecreatedObjectHasANewVersion() {
        create("a", "1");
        platform.call("DELETE", "/v1/objects/k/a", "", "If-Match", "\"1\"");

        assertEquals("\"3\"", create("a", "2").headers().get("ETag"));
    }

    /** Guards against pages that skip or repeat objects. */
    @Test
    void listsInPagesByPrefix() {
        for (String name : new String[] {"x.1", "x.2", "x.3", "y.1"}) {
            create(name, name);
        }

        JsonNode first = platform.get("/v1/objects/k?prefix=x.&limit=2").json().path("items");
        JsonNode rest =
                platform.get("/v1/objects/k?prefix=x.&after=x.2&limit=2").json().path("items");

        assertEquals(2, first.size());
        assertEquals(1, rest.size());
        assertEquals("x.3", rest.get(0).path("name").asText());
        assertEquals("x.3", rest.get(0).path("body").asText());
    }

    /** Guards against accepted values beyond the maximum size. */
    @Test
    void refusesAValueOverOneMegabyte() {
        assertEquals(413, create("big", "x".repeat(1_000_001)).status());
        assertEquals(201, create("big", "x".repeat(1_000_000)).status());
    }

    /** Guards against a pending watch that misses a change of its kind or responds to a change of another kind. */
    @Test
    void aWaitingWatchAnswersOnTheFirstChangeOfItsKind() {
        CompletableFuture<Fixture.Answer> watch =
                CompletableFuture.supplyAsync(() -> platform.get("/v1/watch/k?since=0&wait_ms=5000"));
        Waiting.until(
                () -> platform.get("/counters").json().path("waiting_watches").asInt() == 1);
        platform.call("PUT", "/v1/objects/other/a", "", "If-None-Match", "*");
        assertFalse(watch.isDone());

        create("a", "1");

        JsonNode changes = watch.join().json();
        assertEquals(2, changes.path("revision").asLong());
        assertEquals(1, changes.path("changes").size());
        assertTrue(changes.path("reset").isMissingNode());
    }

    /** Guards against a watch that skips changes missing from the history or waits at an unknown revision. */
    @ParameterizedTest(name = "since {0}")
    @CsvSource({"0, true", "1, true", "2, false", "99, true"})
    void aWatchBeyondTheHistoryIsResetAtOnce(long since, boolean reset) {
        for (int i = 0; i < 7; i++) {
            create("n" + i, "");
        }

        JsonNode answer =
                platform.get("/v1/watch/k?wait_ms=5000&since=" + since).json();

        assertEquals(reset, answer.path("reset").asBoolean());
        assertEquals(reset ? 0 : 5, answer.path("changes").size());
    }

    /** Guards against VM changes that are visible without lag, which would leave the lag untested. */
    @Test
    void theVmListLags() {
        platform.call("PUT", "/v1/vms/vm-1", "{\"availability_zone\":\"az-1\",\"state\":\"live\"}");

        assertEquals(0, vms().size());
        Waiting.until(() -> vms().size() == 1);
        assertEquals("live", vms().get(0).path("state").asText());
    }

    /** Guards against counters without the refused calls and against accepted calls beyond the rate limit. */
    @Test
    void callsBeyondTheRateAreRefusedAndCounted() {
        try (Fixture small = Fixture.of("platform", "--writes-per-second", "2", "--reads-per-second", "2")) {
            int refused = 0;
            for (int i = 0; i < 12; i++) {
                Fixture.Answer answer = small.call("PUT", "/v1/objects/k/n" + i, "", "If-None-Match", "*");
                if (answer.status() == 429) {
                    assertEquals("1", answer.headers().get("Retry-After"));
                    refused++;
                }
            }

            JsonNode count = small.get("/counters").json().path("calls").get(0);
            assertTrue(refused >= 2, "refused " + refused);
            assertEquals(12, count.path("calls").asInt());
            assertEquals(refused, count.path("refused").asInt());
        }
    }

    private JsonNode vms() {
        return platform.get("/v1/vms").json().path("vms");
    }

    private Fixture.Answer create(String name, String body) {
        return platform.call("PUT", "/v1/objects/k/" + name, body, "If-None-Match", "*");
    }
}
