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

/** Calls the operators' interface of routers and the control interface of stand-ins. */
final class OperatorClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int CONFLICT = 409;
    private static final long RETRY_PAUSE_MS = 200;

    private final OkHttpClient http =
            new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(8)).build();
    private final String credential;

    OperatorClient(String credential) {
        this.credential = credential;
    }

    /** Applies the first fleet text. A conflict means that an earlier attempt was accepted and its answer lost. */
    void applyFleet(String routerUrl, String text, long deadlineNs) throws InterruptedException {
        ObjectNode body = MAPPER.createObjectNode()
                .put("expected_version", 0)
                .put("change_id", UUID.randomUUID().toString())
                .put("text", text);
        await("fleet text", deadlineNs, () -> {
            int status = call("PUT", routerUrl + "/operator/v1/fleet", body);
            return status / 100 == 2 || status == CONFLICT;
        });
    }

    void topUp(String routerUrl, String organisation, String budget, long tokens, long deadlineNs)
            throws InterruptedException {
        ObjectNode body = MAPPER.createObjectNode().put("id", "experiment").put("tokens", tokens);
        String url = routerUrl + "/operator/v1/budgets/" + organisation + "/" + budget + "/topups";
        await("top-up of " + organisation, deadlineNs, () -> call("POST", url, body) / 100 == 2);
    }

    void awaitReady(String routerUrl, long deadlineNs) throws InterruptedException {
        await("readiness of " + routerUrl, deadlineNs, () -> call("GET", routerUrl + "/ready", null) / 100 == 2);
    }

    void injectFault(String standinUrl, String fault, long durationMs) throws IOException {
        ObjectNode body = MAPPER.createObjectNode().put("fault", fault).put("duration_ms", durationMs);
        call("POST", standinUrl + "/faults", body);
    }

    void addVm(String platformUrl, String name, String zone) throws IOException {
        ObjectNode body =
                MAPPER.createObjectNode().put("availability_zone", zone).put("state", "live");
        call("PUT", platformUrl + "/v1/vms/" + name, body);
    }

    private interface Attempt {
        boolean succeeds() throws IOException;
    }

    private static void await(String operation, long deadlineNs, Attempt attempt) throws InterruptedException {
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
        throw new IllegalStateException(operation + " timed out; last failure: " + lastFailure);
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
