package io.jayhead.daemon.contract;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards callers whose input is legal but unusual, such as chunked bodies, HTTP/1.0, encoded paths and text beyond
 * ASCII. A router that handles only the usual forms would refuse it, corrupt it or bill it wrongly.
 */
class OddInputTest {

    private static final String QUESTION = "{\"prompt\":\"where is my parcel\",\"max_tokens\":5}";
    private static final String ANSWER = "4rrgpc 3rgjqx 6dwxu3 5l9ytv 7okfg3 ";
    private static final String EMOJI = "Grüße, 世界 👋🏽 e\u0301";

    private static Rig rig;

    @BeforeAll
    static void start() {
        rig = Rig.start();
    }

    @AfterAll
    static void stop() {
        rig.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"authorization: Bearer ", "AUTHORIZATION:bearer   ", "AuThOrIzAtIoN: BEARER "})
    void headerNamesAndTheSchemeAreReadInAnyCase(String header) {
        assertAnswered(send("POST /v1/services/ask HTTP/1.1\r\nhOST: x\r\n" + header + Rig.SHOP_KEY
                + "\r\ncontent-LENGTH: " + QUESTION.length() + "\r\nConnection: close\r\n\r\n" + QUESTION));
    }

    @Test
    void aRequestInTheStyleOfHttp10IsAnsweredAndTheConnectionIsClosed() {
        assertAnswered(send("POST /v1/services/ask HTTP/1.0\r\nAuthorization: Bearer " + Rig.SHOP_KEY
                + "\r\nContent-Length: " + QUESTION.length() + "\r\n\r\n" + QUESTION));
    }

    // Guards against a stream that a client without chunked decoding cannot read.
    @Test
    void aStreamToAnHttp10ClientIsNotChunked() {
        String body = QUESTION.replace("}", ",\"stream\":true}");
        RawAnswer answer = send("POST /v1/services/ask HTTP/1.0\r\nAuthorization: Bearer " + Rig.SHOP_KEY
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertAll(
                () -> assertEquals("", answer.header("transfer-encoding"), answer.head()),
                () -> assertTrue(answer.body().startsWith("event: token\n"), answer.body()),
                () -> assertEquals("ran", answer.verdict()));
    }

    @Test
    void aBodyInChunksIsRead() {
        String first = QUESTION.substring(0, 10);
        String second = QUESTION.substring(10);
        assertAnswered(send("POST /v1/services/ask HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Rig.SHOP_KEY
                + "\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" + chunk(first) + chunk(second)
                + "0\r\n\r\n"));
    }

    @Test
    void twoRequestsThatAreSentAtOnceOnOneConnectionAreAnsweredInTheirOrder() {
        String first = RawHttp.request("GET", "/v1/services/desk-status/first", Rig.SHOP_KEY, "")
                .replace("Connection: close\r\n", "");
        String last = RawHttp.request("POST", "/v1/services/ask", Rig.SHOP_KEY, QUESTION);
        assertEquals("{\"code\":\"not_found\"}", send(first + last).body());
    }

    @Test
    void unknownFieldsAreIgnored() {
        assertAnswered(rig.post("ask", QUESTION.replace("}", ",\"temperature\":0.5,\"tags\":[{\"a\":null}]}")));
    }

    @Test
    void aCapAboveThatOfTheServiceIsLoweredToIt() {
        RawAnswer answer = rig.post("ask", "{\"prompt\":\"[exact]\",\"max_tokens\":100000}");
        assertEquals(60, answer.json().path("usage").path("output_tokens").asInt(), answer.body());
    }

    // Guards against too small a body limit, and against a prompt that is billed by its bound, not its token count.
    @Test
    void aPromptOf200KilobytesIsServed() {
        RawAnswer answer = rig.post("ask", "{\"prompt\":\"" + "route ".repeat(34_000) + "\",\"max_tokens\":5}");
        assertEquals(200, answer.status(), answer.body());
        assertEquals(34_000, answer.json().path("usage").path("prompt_tokens").asInt());
    }

    // Guards against text that is split between the bytes of one character on the way to or from the engine.
    @Test
    void textBeyondAsciiPassesInBothDirections() throws Exception {
        try (TextEngine engine = TextEngine.start(EMOJI);
                Rig ownRig = Rig.start(
                        text -> text.replaceFirst("(?s)(name: engine-a.*?address: )\\S+", "$1" + engine.address()))) {
            String body = "{\"prompt\":\"" + EMOJI + "\",\"max_tokens\":20,\"stream\":true}";
            RawAnswer streamed = ownRig.post("ask", body);
            RawAnswer whole = ownRig.post("ask", body.replace("true", "false"));
            assertEquals(EMOJI, engine.lastPrompt());
            assertEquals(EMOJI, whole.json().path("text").asText());
            Approvals.verify(streamed.golden() + "--- one document\n" + whole.golden());
        }
    }

    // Guards against a caller's path that reaches other paths of the service than the configured one.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "../executions",
                "x/../../executions",
                "%2e%2e/executions",
                "..%2fexecutions",
                "%252e%252e/executions",
                "x%2f..%2f..%2fexecutions",
                "x?..=1",
                "x%3fa=1",
                "x%23a",
                "x%0d%0aHost:%20y",
                "a%20b",
                "gr%C3%BC%C3%9Fe",
                "order;a=b",
                "//executions"
            })
    void aStatusPathStaysBelowThePathOfItsService(String path) {
        RawAnswer answer = rig.get("desk-status/" + path);
        assertTrue(answer.status() == 404 || answer.status() == 400, path + ": " + answer.exact());
        assertFalse(answer.body().contains("executions\":{"), path + ": " + answer.exact());
    }

    @Test
    void anOrderWithEncodedCharactersIsFound() {
        rig.post("desk", "{\"order\":\"a b/ü\"}");
        RawAnswer answer = rig.get("desk-status/a%20b%2F%C3%BC");
        assertEquals("a b/ü", answer.json().path("order").asText(), answer.exact());
    }

    private static void assertAnswered(RawAnswer answer) {
        assertEquals(200, answer.status(), answer.exact());
        assertEquals(ANSWER, answer.json().path("text").asText());
    }

    private static RawAnswer send(String request) {
        return RawHttp.send(rig.callersPort(), request, chunk -> {});
    }

    private static String chunk(String text) {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        return Integer.toHexString(length) + "\r\n" + text + "\r\n";
    }
}
