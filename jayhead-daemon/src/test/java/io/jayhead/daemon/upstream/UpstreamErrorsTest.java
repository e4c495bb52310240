package io.jayhead.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a part of an answer, or an answer of another form, that proves that a request did not run. */
class UpstreamErrorsTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"code\":\"draining\"}",
                "{\"other\":{\"code\":\"x\"},\"code\":\"draining\",\"list\":[1,{\"code\":\"y\"}]}",
                " {\"code\":\"draining\"} ",
            })
    void theCodeOfAWholeObjectIsRead(String body) {
        assertEquals("draining", UpstreamErrors.code(body));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "text",
                "null",
                "[]",
                "[{\"code\":\"draining\"}]",
                "{\"code\":\"draining\"",
                "{\"code\":\"draining\",",
                "{\"code\":\"draining\",\"more\":[}",
                "{\"code\":{\"code\":\"draining\"}}",
                "{\"code\":7}",
                "{\"code\":null}",
            })
    void anythingElseHasNoCode(String body) {
        assertEquals("", UpstreamErrors.code(body));
    }

    @Test
    void aLargeAnswerIsReadWithoutATree() {
        String values = "{},".repeat(5_000_000);
        assertEquals("full", UpstreamErrors.code("{\"values\":[" + values + "{}],\"code\":\"full\"}"));
    }
}
