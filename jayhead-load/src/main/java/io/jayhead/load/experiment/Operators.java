package io.jayhead.load.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.UUID;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Calls the operator interface of routers and the fault interface of stand-ins. */
final class Operators {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int CONFLICT = 409;
    private static final long RETRY_PAUSE_MS = 200;

    private final OkHttpClient http =
            new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(8)).build();
    private final String credential;

    Operators(String credential) {
        this.credential = credential;
    }

    /** Applies the first fleet text; a conflict means that an attempt whose answer was lost has been accepted. */
    void applyFleet(String router, String text, long deadlineNs) throws InterruptedException {
        ObjectNode body = MAPPER.createObjectNode()
                .put("expected_version", 0)
                .put("change_id", UUID.randomUUID().toString())
                .put("text", text);
        await("fleet text", deadlineNs, () -> {
            int status = call("PUT", router + "/operator/v1/fleet", body);
            return status / 100 == 2 || status == CONFLICT;
        });
    }

    void topUp(String router, String organisation, String budget, long tokens, long deadlineNs)
            throws InterruptedException {
        ObjectNode body = MAPPER.createObjectNode().put("id", "experiment").put("tokens", tokens);
        String url = router + "/operator/v1/budgets/" + organisation + "/" + budget + "/topups";
        await("top-up of " + organisation, deadlineNs, () -> call("POST", url, body) / 100 == 2);
    }

    void awaitReady(String router, long deadlineNs) throws InterruptedException {
        await("readiness of " + router, deadlineNs, () -> call("GET", router + "/ready", null) / 100 == 2);
    }

    void fault(String standin, String fault, long durationMs) throws IOException {
        ObjectNode body = MAPPER.createObjectNode().put("fault", fault).put("duration_ms", durationMs);
        call("POST", standin + "/faults", body);
    }

    void addVm(String platform, String name, String zone) throws IOException {
        ObjectNode body =
                MAPPER.createObjectNode().put("availability_zone", zone).put("state", "live");
        call("PUT", platform + "/v1/vms/" + name, body);
    }

    private interface Attempt {
        boolean succeeds() throws IOException;
    }

    private static void await(String what, long deadlineNs, Attempt attempt) throws InterruptedException {
        String lastFailure = "refused";
        while (System.nanoTime() < deadlineNs) {
            try {
                if (attempt.succeeds()) {
                    return;
                }
            } catch (IOException e) {
                lastFailure = e.toString();
            }
            Thread.sleep(RETRY_PAUSE_MS);
        }
        throw new IllegalStateException(what + " is not done in time: " + lastFailure);
    }

    private int call(String method, String url, JsonNode body) throws IOException {
        RequestBody content = body == null ? null : RequestBody.create(body.toString(), JSON);
        Request request = new Request.Builder()
                .url(url)
                .header("Authorization", "Bearer " + credential)
                .method(method, content)
                .build();
        try (Response response = http.newCall(request).execute()) {
            return response.code();
        }
    }
}
