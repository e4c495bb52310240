package io.jayhead.daemon.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards the operators' interface: access without the credential, changes and top-ups that count twice when they are
 * retried, and changed fields or metrics, on which dashboards and scripts depend.
 */
class OperatorsContractTest {

    private static final String TOPUPS = "budgets/shop-1/main/topups";

    private static Rig rig;

    @BeforeAll
    static void start() {
        rig = Rig.start();
    }

    @AfterAll
    static void stop() {
        rig.close();
    }

    // Guards against a route that answers without the operators' credential or accepts the API key of a caller.
    @Test
    void eachRouteNeedsTheOperatorsCredential() {
        List<String> routes = List.of(
                "GET status",
                "GET fleet",
                "PUT fleet",
                "GET budgets/shop-1/main",
                "POST " + TOPUPS,
                "GET requests/" + "0".repeat(64));
        for (String route : routes) {
            String[] methodAndPath = route.split(" ");
            for (String credential : List.of("", "wrong", Rig.SHOP_KEY)) {
                RawAnswer answer = rig.operator(methodAndPath[0], methodAndPath[1], credential, "{}");
                assertEquals(401, answer.status(), route);
                assertEquals("unauthenticated", answer.code(), route);
            }
        }
    }

    // Guards against a lost update that is reported as success, and against a retried change reported as a conflict.
    @Test
    void changesAreAcceptedOnceAndConflictsNameTheWinningVersion() {
        long version = rig.operator("fleet").json().path("version").asLong();
        String text = rig.operator("fleet").json().path("text").asText();
        RawAnswer first = rig.apply(version, "change-a", text + "# a\n");
        assertEquals("{\"version\":" + (version + 1) + ",\"state\":\"accepted\"}", first.body());
        assertEquals(
                first.body(), rig.apply(version, "change-a", text + "# a\n").body());
        RawAnswer conflict = rig.apply(version, "change-b", text + "# b\n");
        assertEquals(409, conflict.status());
        assertEquals(version + 1, conflict.json().path("version").asLong());
        assertEquals("change-a", rig.operator("fleet").json().path("change_id").asText());
        Approvals.verify(conflict.golden().replaceAll("version( |\":)\\d+", "version$1<version>"));
    }

    @Test
    void anInvalidTextIsRefusedWithAllItsProblems() {
        String text = Rig.resource("invalid-fleet.yaml");
        Approvals.verify(rig.apply(1, "change-c", text).golden());
    }

    @Test
    void incompleteDocumentsAreRefused() {
        Approvals.verify(Stream.of("", "{", "[]", "{\"expected_version\":\"1\",\"change_id\":\"x\",\"text\":\"\"}")
                .map(body -> rig.operator("PUT", "fleet", Rig.OPERATOR, body).golden()
                        + rig.operator("POST", TOPUPS, Rig.OPERATOR, body).golden())
                .collect(Collectors.joining("=== ")));
    }

    // Guards against a top-up that counts twice when it is retried (property P1), or whose amount changes.
    @Test
    void aRepeatedTopUpCountsOnceAndAnotherAmountIsRefused() {
        long before = rig.budget().path("paid_tokens").asLong();
        assertEquals(200, rig.topUp("shop-1", "twice", 50).status());
        assertEquals(200, rig.topUp("shop-1", "twice", 50).status());
        RawAnswer other = rig.topUp("shop-1", "twice", 60);
        assertEquals(409, other.status(), other.body());
        assertEquals(before + 50, rig.budget().path("paid_tokens").asLong());
        assertEquals(400, rig.topUp("shop-1", "zero", 0).status());
        assertEquals(400, rig.topUp("shop-1", "negative", -5).status());
        assertEquals(404, rig.topUp("shop-9", "unknown", 5).status());
    }

    // Guards against amounts that are silently rounded or truncated.
    @Test
    void anAmountThatIsNotAWholeNumberOfTokensIsRefused() {
        long before = rig.budget().path("paid_tokens").asLong();
        for (String tokens : List.of("1.5", "\"70\"", "true", "1e3", "99999999999999999999", "null")) {
            String body = "{\"id\":\"odd-" + tokens.replace("\"", "") + "\",\"tokens\":" + tokens + "}";
            assertEquals(400, rig.operator("POST", TOPUPS, Rig.OPERATOR, body).status(), tokens);
        }
        assertEquals(before, rig.budget().path("paid_tokens").asLong());
    }

    @Test
    void theBudgetShowsWhatWasPaidAndBilled() {
        long before = rig.budget().path("billed_tokens").asLong();
        RawAnswer answer = rig.post("ask", "{\"prompt\":\"what is due\",\"max_tokens\":5}");
        JsonNode budget = rig.budget();
        assertEquals(answer.usedTokens(), budget.path("billed_tokens").asLong() - before);
        assertEquals(
                "organisation budget paid_tokens billed_tokens retired_tokens unallocated_tokens grants",
                String.join(" ", names(budget)));
        assertEquals(
                "incarnation state granted_tokens consumed_tokens lent_limit_tokens borrowed_tokens",
                String.join(" ", names(budget.path("grants").path(0))));
    }

    @Test
    void aRequestIsExplainedFromAdmissionToAnswer() {
        String id = rig.post("ask", "{\"prompt\":\"why\",\"max_tokens\":5}")
                .json()
                .path("request_id")
                .asText();
        JsonNode explained = rig.operator("requests/" + id).json();
        String lines = explained.path("decisions").toString();
        for (String stage : List.of("admission", "routing", "dispatch", "settlement", "answer")) {
            assertTrue(lines.contains("stage=" + stage), lines);
        }
        assertEquals(404, rig.operator("requests/unknown").status());
    }

    @Test
    void theStatusNamesTheDependencyThatHoldsAServiceBack() {
        JsonNode status = rig.operator("status").json();
        for (JsonNode service : status.path("services")) {
            if (service.path("name").asText().equals("haunted")) {
                assertTrue(service.path("held_back_by").asText().contains("model/ghost"), service.toString());
            }
        }
        Approvals.verify(rig.operator("status")
                .golden()
                .replaceAll("\"incarnation\":\"[^\"]*\"", "\"incarnation\":\"<incarnation>\"")
                .replaceAll("content-length: \\S+", "content-length: <length>")
                .replaceAll("(version|in_flight|charges|report_age_ms)\":-?\\d+", "$1\":<number>"));
    }

    @Test
    void aReadyRouterSaysSoWithoutACredential() {
        Approvals.verify(rig.callWithoutCredential("/ready").golden());
    }

    // Guards against renamed metrics and labels, on which dashboards and alerts depend.
    @Test
    void theMetricsKeepTheirNamesAndLabels() {
        rig.post("ask", "{\"prompt\":\"count\",\"max_tokens\":5}");
        rig.post("desk", "{\"order\":\"metrics\"}");
        Set<String> names = new TreeSet<>();
        rig.callWithoutCredential("/metrics")
                .body()
                .lines()
                .filter(line -> !line.isEmpty())
                .forEach(line -> names.add(
                        line.startsWith("#")
                                ? line
                                : line.replaceAll(" \\S+$", "").replaceAll("=\"[^\"]*\"", "")));
        Approvals.verify(String.join("\n", names));
    }

    private static List<String> names(JsonNode node) {
        List<String> names = new java.util.ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }
}
