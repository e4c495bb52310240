package io.jayhead.daemon.request;

import io.jayhead.edge.CallerResponse;
import io.jayhead.edge.ErrorBody;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.Verdict;
import java.nio.charset.StandardCharsets;

/** Writes the outcome of a status read to its caller. */
final class StatusAnswerWriter implements CallOutcomeListener {

    private final ValidatedRequest request;
    private final RequestComponents components;
    private final CallerResponse response;

    StatusAnswerWriter(ValidatedRequest request, RequestComponents components, CallerResponse response) {
        this.request = request;
        this.components = components;
        this.response = response;
    }

    @Override
    public void answered(int status, String body) {
        recordAnswer("ok", Verdict.ran());
        response.setHeader(GenerationAnswerWriter.VERDICT_HEADER, Verdict.ran().code());
        response.send(status, GenerationAnswerWriter.JSON, body.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void failed(ErrorCode code, Verdict verdict) {
        recordAnswer(code.code(), verdict);
        String body = ErrorBody.of(
                code, verdict, "the status could not be read", request.key().value());
        response.send(code.httpStatus(verdict), GenerationAnswerWriter.JSON, body.getBytes(StandardCharsets.UTF_8));
    }

    private void recordAnswer(String code, Verdict verdict) {
        components.metrics().countRequest(request.service().kind(), code, verdict);
        components.decisions().record("answer", request.key().value(), "code=%s verdict=%s", code, verdict.code());
    }
}
