package io.jayhead.daemon.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the answers that callers parse, such as another status, header, field or event. The golden
 * files are a promise to callers: never change one, only add new ones.
 */
class CallersContractTest {

    private static final String QUESTION = "{\"prompt\":\"where is my parcel\",\"max_tokens\":5}";
    private static final String STREAMED = "{\"prompt\":\"where is my parcel\",\"max_tokens\":5,\"stream\":true}";

    private static Rig rig;

    @BeforeAll
    static void start() {
        rig = Rig.start();
    }

    @AfterAll
    static void stop() {
        rig.close();
    }

    // Guards against a changed status, header or field of the answer to a generation.
    @Test
    void aGenerationIsAnsweredAsOneDocument() {
        Approvals.verify(rig.post("ask", QUESTION).golden());
    }

    @Test
    void aGenerationIsAnsweredAsAStream() {
        Approvals.verify(rig.post("ask", STREAMED).golden());
    }

    @Test
    void aBookingIsAnsweredAndARepeatedOneGetsTheStoredAnswer() {
        String order = "{\"order\":\"order-1\"}";
        Approvals.verify(rig.post("desk", order).exact() + "--- repeated\n"
                + rig.post("desk", order).exact());
        assertEquals(
                1,
                rig.standinCall(rig.bookingService, "GET", "/bookings/order-1", "")
                        .json()
                        .path("executions")
                        .asInt());
    }

    @Test
    void aStatusIsRead() {
        rig.post("desk", "{\"order\":\"order-2\"}");
        Approvals.verify(rig.get("desk-status/order-2").exact() + "--- unknown order\n"
                + rig.get("desk-status/nowhere").exact());
    }

    // Guards against a broken stream that looks complete: it needs an error event and a connection that is cut before
    // the last chunk.
    @Test
    void aBrokenStreamEndsWithAnErrorEventAndAnAbortedConnection() throws Exception {
        try (TextEngine engine = TextEngine.startBroken("first ");
                Rig ownRig = Rig.start(engine::replaceEngineA)) {
            RawAnswer answer = ownRig.post("ask", STREAMED);
            assertFalse(answer.complete());
            Approvals.verify(answer.golden());
        }
    }

    // Guards against a refusal with a changed code, status or verdict, and against a refused request that ran.
    @Test
    void eachRefusalHasItsCodeStatusAndVerdict() {
        long before = rig.executions();
        List<String> answers = new ArrayList<>();
        answers.add("missing key\n" + call("ask", "", QUESTION));
        answers.add("unknown key\n" + call("ask", "unknown", QUESTION));
        answers.add("unknown service\n" + call("nothing", Rig.SHOP_KEY, QUESTION));
        answers.add("another organisation's service\n" + call("private", Rig.SHOP_KEY, QUESTION));
        answers.add("another organisation's key\n" + call("ask", Rig.OTHER_KEY, QUESTION));
        answers.add("empty body\n" + call("ask", Rig.SHOP_KEY, ""));
        answers.add("invalid JSON\n" + call("ask", Rig.SHOP_KEY, "{\"prompt\":"));
        answers.add("not an object\n" + call("ask", Rig.SHOP_KEY, "[]"));
        answers.add("prompt of another type\n" + call("ask", Rig.SHOP_KEY, "{\"prompt\":7}"));
        answers.add("empty prompt\n" + call("ask", Rig.SHOP_KEY, "{\"prompt\":\"\"}"));
        answers.add("no tokens\n" + call("ask", Rig.SHOP_KEY, "{\"prompt\":\"a\",\"max_tokens\":0}"));
        answers.add("stream of another type\n" + call("ask", Rig.SHOP_KEY, "{\"prompt\":\"a\",\"stream\":1}"));
        answers.add("no idempotency key\n" + call("desk", Rig.SHOP_KEY, "{}"));
        answers.add("budget without tokens\n" + call("ask", Rig.POOR_KEY, QUESTION));
        answers.add("dependency not ready\n" + call("haunted", Rig.SHOP_KEY, QUESTION));
        answers.add("upstream down\n" + call("closed-desk", Rig.SHOP_KEY, "{\"order\":\"order-3\"}"));
        answers.add("wrong method\n"
                + RawHttp.call(rig.callersPort(), "POST", "/v1/services/desk-status", Rig.SHOP_KEY, "{}")
                        .golden());
        answers.add("unknown path\n"
                + RawHttp.call(rig.callersPort(), "GET", "/v2/services", Rig.SHOP_KEY, "")
                        .golden());
        answers.add("unknown method\n"
                + RawHttp.call(rig.callersPort(), "DELETE", "/v1/services/ask", Rig.SHOP_KEY, "")
                        .golden());
        Approvals.verify(String.join("=== ", answers));
        assertEquals(before, rig.executions());
    }

    @Test
    void aKeyThatIsReusedWithAnotherBodyIsRefused() {
        rig.post("desk", "{\"order\":\"order-4\"}");
        Approvals.verify(rig.post("desk", "{\"order\":\"order-4\",\"seat\":2}").exact());
    }

    private static String call(String service, String credential, String body) {
        return RawHttp.call(rig.callersPort(), "POST", "/v1/services/" + service, credential, body)
                .golden();
    }
}
