package io.jayhead.daemon.request;

import io.jayhead.daemon.upstream.AttemptRequest;
import io.jayhead.dispatch.DispatchCommand;
import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.dispatch.DispatchLimits;
import io.jayhead.dispatch.GenerationAttempts;
import io.jayhead.dispatch.GenerationState;
import io.jayhead.edge.GenerationBody;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.Verdict;
import okhttp3.Call;

/** Runs one generation on model engines and passes its tokens to the caller. */
final class GenerationRun extends DispatchRun<GenerationState> {

    private final GenerationBody body;
    private final String model;
    private final long maxOutputTokens;
    private final GenerationAnswerWriter answerWriter;
    private UpstreamName lastUpstream;
    private long receivedTokens;
    private long lastTokenMs;

    GenerationRun(
            ValidatedRequest request,
            RequestComponents components,
            DispatchLimits limits,
            GenerationBody body,
            String model,
            GenerationAnswerWriter answerWriter) {
        super(request, components, GenerationState.of(request.key(), limits), GenerationAttempts::handle);
        this.body = body;
        this.model = model;
        this.maxOutputTokens = limits.maxOutputTokens();
        this.answerWriter = answerWriter;
    }

    /**
     * Handles a caller that disconnected. A request with an idempotency key continues, because the caller is expected
     * to repeat it to get the answer, possibly through another router that has joined the run already.
     */
    void callerDisconnected() {
        if (!request.hasIdempotencyKey()) {
            post(new DispatchEvent.CallerDisconnected());
        }
    }

    @Override
    Call send(AttemptRequest attempt) {
        lastUpstream = attempt.upstream().name();
        if (request.hasIdempotencyKey()) {
            components
                    .control()
                    .execute(() ->
                            components.registry().update(request.key(), request.bodyDigest(), lastUpstream, false));
        }
        return components.engines().generate(attempt, model, body.prompt(), maxOutputTokens, this::post);
    }

    @Override
    void answer(DispatchCommand command) {
        if (command instanceof DispatchCommand.DeliverToken token) {
            recordTokenTime();
            answerWriter.token(token.index(), token.text());
        } else if (command instanceof DispatchCommand.DeliverEnd end) {
            // Recorded first, so that whoever has the answer also finds its line.
            recordAnswer("ok", Verdict.ran());
            answerWriter.end(end.usage());
        } else if (command instanceof DispatchCommand.FailCaller fail) {
            recordAnswer(fail.code().code(), fail.verdict());
            answerWriter.fail(
                    fail.code(), fail.verdict(), fail.broken() ? "the answer was broken off" : "the request failed");
        }
    }

    @Override
    long receivedTokens() {
        return receivedTokens;
    }

    @Override
    void finished() {
        if (request.hasIdempotencyKey() && lastUpstream != null) {
            components
                    .control()
                    .execute(() ->
                            components.registry().update(request.key(), request.bodyDigest(), lastUpstream, true));
        }
    }

    private void recordTokenTime() {
        long nowMs = components.clock().nowMs();
        receivedTokens++;
        if (receivedTokens == 1) {
            UpstreamName upstream = lastUpstream;
            components
                    .control()
                    .execute(() -> components
                            .routing()
                            .recordFirstToken(upstream, request.key().value()));
            components.metrics().recordFirstToken(request.service().kind(), nowMs - request.arrivedAtMs());
        } else {
            components.metrics().recordBetweenTokens(request.service().kind(), nowMs - lastTokenMs);
        }
        lastTokenMs = nowMs;
    }

    private void recordAnswer(String code, Verdict verdict) {
        components.metrics().countRequest(request.service().kind(), code, verdict);
        components
                .decisions()
                .record(
                        "answer",
                        request.key().value(),
                        "code=%s verdict=%s tokens=%d duration_ms=%d",
                        code,
                        verdict.code(),
                        receivedTokens,
                        components.clock().nowMs() - request.arrivedAtMs());
    }
}
