package io.jayhead.daemon.request;

import io.jayhead.daemon.upstream.AttemptOrder;
import io.jayhead.dispatch.DispatchCommand;
import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.dispatch.DispatchLimits;
import io.jayhead.dispatch.GenerationAttempts;
import io.jayhead.dispatch.GenerationState;
import io.jayhead.edge.GenerationBody;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.Verdict;
import okhttp3.Call;

/** Runs one generation. */
final class GenerationRun extends Run<GenerationState> {

    private final GenerationBody body;
    private final String model;
    private final long maxOutputTokens;
    private final CallerAnswer answer;
    private UpstreamName sentTo;
    private long tokens;
    private long lastTokenMs;

    GenerationRun(
            AdmittedRequest request,
            Services services,
            DispatchLimits limits,
            GenerationBody body,
            String model,
            CallerAnswer answer) {
        super(request, services, GenerationState.of(request.key(), limits), GenerationAttempts::handle);
        this.body = body;
        this.model = model;
        this.maxOutputTokens = limits.maxOutputTokens();
        this.answer = answer;
    }

    /**
     * Handles a caller that went away. A request with an idempotency key goes on, because the caller is expected to
     * come again for the answer, possibly through another router that has joined the run already.
     */
    void callerGone() {
        if (!request.keyed()) {
            post(new DispatchEvent.CallerGone());
        }
    }

    @Override
    Call send(AttemptOrder order) {
        sentTo = order.upstream().name();
        if (request.keyed()) {
            services.control()
                    .execute(() -> services.registry().update(request.key(), request.bodyDigest(), sentTo, false));
        }
        return services.engines().generate(order, model, body.prompt(), maxOutputTokens, this::post);
    }

    @Override
    void answer(DispatchCommand command) {
        if (command instanceof DispatchCommand.DeliverToken token) {
            measure();
            answer.token(token.index(), token.text());
        } else if (command instanceof DispatchCommand.DeliverEnd end) {
            answer.end(end.usage());
            conclude("ok", Verdict.ran());
        } else if (command instanceof DispatchCommand.FailCaller fail) {
            answer.fail(
                    fail.code(), fail.verdict(), fail.broken() ? "the answer was broken off" : "the request failed");
            conclude(fail.code().code(), fail.verdict());
        }
    }

    @Override
    long receivedTokens() {
        return tokens;
    }

    @Override
    void finished() {
        if (request.keyed() && sentTo != null) {
            services.control()
                    .execute(() -> services.registry().update(request.key(), request.bodyDigest(), sentTo, true));
        }
    }

    private void measure() {
        long nowMs = services.clock().nowMs();
        tokens++;
        if (tokens == 1) {
            UpstreamName upstream = sentTo;
            services.control()
                    .execute(() -> services.routing()
                            .firstToken(upstream, request.key().value()));
            services.metrics().firstToken(request.service().kind(), nowMs - request.arrivedAtMs());
        } else {
            services.metrics().betweenTokens(request.service().kind(), nowMs - lastTokenMs);
        }
        lastTokenMs = nowMs;
    }

    private void conclude(String code, Verdict verdict) {
        services.metrics().request(request.service().kind(), code, verdict);
        services.decisions()
                .record(
                        "answer",
                        request.key().value(),
                        "code=%s verdict=%s tokens=%d duration_ms=%d",
                        code,
                        verdict.code(),
                        tokens,
                        services.clock().nowMs() - request.arrivedAtMs());
    }
}
