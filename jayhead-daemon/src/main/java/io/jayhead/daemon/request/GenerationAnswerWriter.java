package io.jayhead.daemon.request;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.dispatch.Usage;
import io.jayhead.edge.CallerResponse;
import io.jayhead.edge.ErrorBody;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.RequestKey;
import io.jayhead.model.Verdict;
import java.nio.charset.StandardCharsets;

/** Writes the answer of a generation to its caller, as an event stream or as one JSON document. */
final class GenerationAnswerWriter {

    static final String JSON = "application/json";

    /** Carries the verdict on the answer of a plain service, whose body is passed on unchanged. */
    static final String VERDICT_HEADER = "Jayhead-Verdict";

    private static final int OK = 200;

    private final CallerResponse response;
    private final boolean stream;
    private final String requestId;
    private final StringBuilder text = new StringBuilder();
    private boolean started;
    private boolean ended;

    GenerationAnswerWriter(CallerResponse response, boolean stream, RequestKey key) {
        this.response = response;
        this.stream = stream;
        this.requestId = key.value();
    }

    /** Discards all further output, because the caller has disconnected. */
    void drop() {
        ended = true;
    }

    void token(long index, String token) {
        if (ended) {
            return;
        }
        if (!stream) {
            text.append(token);
            return;
        }
        start();
        ObjectNode data = JsonNodeFactory.instance.objectNode();
        data.put("index", index);
        data.put("text", token);
        response.sendEvent("token", data.toString());
    }

    void end(Usage usage) {
        if (ended) {
            return;
        }
        ended = true;
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("request_id", requestId);
        if (!stream) {
            document.put("text", text.toString());
        }
        document.putObject("usage")
                .put("prompt_tokens", usage.promptTokens())
                .put("output_tokens", usage.outputTokens());
        document.put("verdict", Verdict.ran().code());
        if (!stream) {
            send(OK, document.toString());
            return;
        }
        start();
        response.sendEvent("done", document.toString());
        response.endStream();
    }

    void fail(ErrorCode code, Verdict verdict, String message) {
        if (ended) {
            return;
        }
        ended = true;
        String body = ErrorBody.of(code, verdict, message, requestId);
        if (!started) {
            send(code.httpStatus(verdict), body);
            return;
        }
        response.sendEvent("error", body);
        response.abort();
    }

    private void start() {
        if (!started) {
            started = true;
            response.startStream();
        }
    }

    private void send(int status, String body) {
        response.send(status, JSON, body.getBytes(StandardCharsets.UTF_8));
    }
}
