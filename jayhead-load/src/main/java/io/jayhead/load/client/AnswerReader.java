package io.jayhead.load.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.model.RequestKind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.BufferedSource;

/** Reads the answer to one request, checks its content and measures the times between tokens. */
final class AnswerReader {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int NOT_FOUND = 404;
    private static final String EVENT_PREFIX = "event:";
    private static final String DATA_PREFIX = "data:";

    private final PlannedRequest request;
    private final LongSupplier sinceArrivalNs;
    private final StringBuilder text = new StringBuilder();
    private final List<Long> gapsNs = new ArrayList<>();
    private long firstTokenNs;
    private long lastTokenNs;
    private int nextIndex;

    AnswerReader(PlannedRequest request, LongSupplier sinceArrivalNs) {
        this.request = request;
        this.sinceArrivalNs = sinceArrivalNs;
    }

    /** Reads the answer to its end; a lost connection gives the outcome {@code BROKEN}. */
    Outcome read(Response response) {
        try (ResponseBody body = response.body()) {
            if (isEventStream(response)) {
                return readStream(body.source());
            }
            return readBody(response.code(), body.string());
        } catch (IOException e) {
            return outcome(OutcomeType.BROKEN, "connection_lost", 0);
        }
    }

    private static boolean isEventStream(Response response) {
        String type = response.header("Content-Type", "");
        return response.isSuccessful() && type.startsWith("text/event-stream");
    }

    private Outcome readBody(int status, String body) throws IOException {
        JsonNode root = parse(body);
        if (root.path("error").has("verdict")) {
            return refusal(root.path("error"));
        }
        if (!request.kind().isGeneration()) {
            return plainAnswer(status, root);
        }
        if (status / 100 != 2) {
            return outcome(OutcomeType.BROKEN, "http_" + status, 0);
        }
        text.append(root.path("text").asText());
        return compareText(root);
    }

    /**
     * Classifies the answer of a booking service. A status read that finds no order is accepted as whole, because the
     * booking may have been refused.
     */
    private Outcome plainAnswer(int status, JsonNode root) {
        if (status == NOT_FOUND && request.kind() == RequestKind.STATUS_READ) {
            return outcome(OutcomeType.WHOLE, "", 0);
        }
        if (status / 100 != 2) {
            return outcome(OutcomeType.BROKEN, "http_" + status, 0);
        }
        boolean sameOrder = root.path("order").asText().equals(request.key());
        return outcome(sameOrder ? OutcomeType.WHOLE : OutcomeType.WRONG, sameOrder ? "" : "other_order", 0);
    }

    private Outcome readStream(BufferedSource source) throws IOException {
        String event = "";
        for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
            if (line.startsWith(EVENT_PREFIX)) {
                event = line.substring(EVENT_PREFIX.length()).strip();
                continue;
            }
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            JsonNode data = parse(line.substring(DATA_PREFIX.length()));
            if (event.equals("done")) {
                return compareText(data);
            }
            if (event.equals("error")) {
                return streamError(data);
            }
            if (event.equals("token") && !acceptToken(data)) {
                return outcome(OutcomeType.WRONG, "token_index", 0);
            }
        }
        return outcome(OutcomeType.BROKEN, "stream_cut", 0);
    }

    private boolean acceptToken(JsonNode token) {
        long nowNs = sinceArrivalNs.getAsLong();
        if (nextIndex == 0) {
            firstTokenNs = nowNs;
        } else {
            gapsNs.add(nowNs - lastTokenNs);
        }
        lastTokenNs = nowNs;
        text.append(token.path("text").asText());
        return token.path("index").asInt(-1) == nextIndex++;
    }

    private Outcome compareText(JsonNode end) {
        JsonNode usage = end.path("usage");
        long tokens = usage.path("prompt_tokens").asLong()
                + usage.path("output_tokens").asLong();
        boolean matches = ExpectedText.of(request).contentEquals(text);
        return outcome(matches ? OutcomeType.WHOLE : OutcomeType.WRONG, matches ? "" : "other_text", tokens);
    }

    private Outcome streamError(JsonNode data) {
        JsonNode error = data.has("error") ? data.path("error") : data;
        return nextIndex > 0 ? outcome(OutcomeType.BROKEN, error.path("code").asText("unknown"), 0) : refusal(error);
    }

    private Outcome refusal(JsonNode error) {
        OutcomeType type =
                switch (error.path("verdict").asText()) {
                    case "not_run" -> OutcomeType.REFUSED;
                    case "may_have_run" -> OutcomeType.MAY_HAVE_RUN;
                    default -> OutcomeType.BROKEN;
                };
        return outcome(type, error.path("code").asText("unknown"), 0);
    }

    private Outcome outcome(OutcomeType type, String code, long tokens) {
        return new Outcome(type, code, firstTokenNs, sinceArrivalNs.getAsLong(), gapsNs, tokens);
    }

    private static JsonNode parse(String json) throws IOException {
        JsonNode root = MAPPER.readTree(json);
        return root == null ? MAPPER.missingNode() : root;
    }
}
