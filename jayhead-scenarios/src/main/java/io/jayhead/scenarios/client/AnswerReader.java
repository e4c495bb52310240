package io.jayhead.scenarios.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import okhttp3.Response;
import okio.BufferedSource;

/** Reads the answer of a router to a caller: an event stream or a single document. */
final class AnswerReader {

    /**
     * Verdict of a successful answer of a plain service. The router passes such an answer through unchanged, so it
     * states no verdict itself.
     */
    private static final String RAN = "ran";

    private static final String EVENT_STREAM = "text/event-stream";

    private final int status;
    private final List<ReceivedToken> tokens = new ArrayList<>();
    private boolean complete;
    private JsonNode lastData = Json.missing();
    private boolean plainSuccess;
    private String fault = "";

    private AnswerReader(int status) {
        this.status = status;
    }

    static CallerAnswer read(Response response) throws IOException {
        AnswerReader reader = new AnswerReader(response.code());
        if (response.header("Content-Type", "").startsWith(EVENT_STREAM)) {
            reader.readEvents(response.body().source());
        } else {
            reader.readDocument(response.body().string());
        }
        return reader.answer();
    }

    private void readDocument(String body) {
        lastData = Json.read(body);
        complete = status / 100 == 2;
        if (lastData.path("text").isTextual()) {
            tokens.add(new ReceivedToken(0, lastData.path("text").asText()));
        } else if (complete) {
            plainSuccess = true;
        }
    }

    private void readEvents(BufferedSource source) {
        try {
            String event = "";
            for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
                if (line.startsWith("event:")) {
                    event = line.substring("event:".length()).strip();
                } else if (line.startsWith("data:")) {
                    handleEvent(event, Json.read(line.substring("data:".length())));
                }
            }
        } catch (IOException e) {
            // Keeps the tokens that arrived before the failure, because the checks verify them as well.
            fault = e.toString();
        }
    }

    private void handleEvent(String event, JsonNode data) {
        if (event.equals("token")) {
            tokens.add(new ReceivedToken(
                    data.path("index").asInt(-1), data.path("text").asText()));
            return;
        }
        lastData = data;
        complete = event.equals("done");
    }

    private CallerAnswer answer() {
        JsonNode error = lastData.path("error");
        JsonNode verdict = error.isMissingNode() ? lastData.path("verdict") : error.path("verdict");
        JsonNode usage = lastData.path("usage");
        return new CallerAnswer(
                status,
                tokens,
                complete && fault.isEmpty(),
                plainSuccess ? Optional.of(RAN) : text(verdict),
                text(error.path("code")),
                usage.path("prompt_tokens").asLong(),
                usage.path("output_tokens").asLong(),
                fault);
    }

    private static Optional<String> text(JsonNode node) {
        return node.isTextual() ? Optional.of(node.asText()) : Optional.empty();
    }
}
