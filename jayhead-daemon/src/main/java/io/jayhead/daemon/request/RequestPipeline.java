package io.jayhead.daemon.request;

import io.jayhead.admission.AdmissionEvent;
import io.jayhead.admission.AdmissionRequest;
import io.jayhead.daemon.budget.AdmissionCallback;
import io.jayhead.dispatch.DispatchLimits;
import io.jayhead.edge.CallerHandler;
import io.jayhead.edge.CallerRequest;
import io.jayhead.edge.CallerResponse;
import io.jayhead.edge.ErrorBody;
import io.jayhead.edge.GenerationBody;
import io.jayhead.model.Either;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.RequestKind;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.Verdict;
import io.jayhead.model.fleet.OrganisationSpec;
import io.jayhead.routing.RoutingDecision;
import io.jayhead.routing.RoutingRefusal;
import io.jayhead.routing.RoutingRequest;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** Passes the requests of callers through admission, routing, dispatch and settlement. */
public final class RequestPipeline implements CallerHandler {

    private static final Verdict NOT_DISPATCHED = Verdict.notRun(NotRunProof.BEFORE_DISPATCH);

    private final RequestComponents components;
    private final RequestReader reader;

    /**
     * Creates the pipeline.
     *
     * @param components the components that requests use
     */
    public RequestPipeline(RequestComponents components) {
        this.components = components;
        this.reader = new RequestReader(components.self().zone());
    }

    @Override
    public void handle(CallerRequest request, CallerResponse response) {
        components.traffic().execute(() -> read(request, response));
    }

    private void read(CallerRequest request, CallerResponse response) {
        Either<RequestReader.Refusal, RequestReader.ParsedRequest> result = reader.read(
                request, components.configuration().view(), components.clock().nowMs());
        if (!result.isRight()) {
            RequestReader.Refusal refusal = result.getLeft();
            // A newer configuration, which this router has not read yet, may accept the request, for example because it
            // contains the key or the service.
            boolean stale = !components.configuration().isFresh();
            refuse(
                    response,
                    Optional.empty(),
                    stale ? ErrorCode.CONFIGURATION_STALE : refusal.code(),
                    stale ? "the configuration of this router is not confirmed" : refusal.message());
            return;
        }
        RequestReader.ParsedRequest parsed = result.get();
        Runnable restart = () -> handle(request, response);
        components.retries().countRequest();
        if (parsed.generation().isPresent()) {
            generate(parsed.request(), parsed.generation().get(), parsed.model(), response, restart);
        } else if (parsed.request().service().kind() == RequestKind.BOOKING) {
            book(parsed.request(), request.body(), response, restart);
        } else {
            readStatus(parsed.request(), request.subPath(), response, restart);
        }
    }

    private void generate(
            ValidatedRequest request, GenerationBody body, String model, CallerResponse response, Runnable restart) {
        int cap = request.service().maxOutputTokens();
        int maxTokens = body.maxTokens() == 0 ? cap : Math.min(cap, body.maxTokens());
        long promptTokens = body.maxPromptTokens();
        Consumer<Optional<UpstreamName>> start = preferred -> admit(
                request,
                promptTokens + maxTokens,
                response,
                restart,
                () -> route(request, request.routingRequest().retry(Set.of(), preferred), response, upstream -> {
                    DispatchLimits limits = limits(request, promptTokens, maxTokens);
                    GenerationAnswerWriter answerWriter =
                            new GenerationAnswerWriter(response, body.stream(), request.key());
                    GenerationRun run = new GenerationRun(request, components, limits, body, model, answerWriter);
                    response.onClose(run::callerDisconnected);
                    run.begin(upstream);
                }));
        if (!request.hasIdempotencyKey()) {
            components.control().execute(() -> start.accept(Optional.empty()));
            return;
        }
        components
                .control()
                .execute(() -> components.registry().lookUpOrRegister(request.key(), request.bodyDigest(), lookup -> {
                    if (lookup.differentBody()) {
                        refuse(
                                response,
                                Optional.of(request),
                                ErrorCode.KEY_REUSED,
                                "the idempotency key was used with another body");
                        return;
                    }
                    start.accept(lookup.upstream());
                }));
    }

    private void book(ValidatedRequest request, byte[] body, CallerResponse response, Runnable restart) {
        BookingAnswerWriter answerWriter = new BookingAnswerWriter(request, components, response);
        if (components.platform().isDown()) {
            answerWriter.refuseInOutage("bookings need the platform, which does not answer");
            return;
        }
        long priceTokens = request.service().priceTokens();
        components
                .control()
                .execute(() -> admit(
                        request,
                        priceTokens,
                        response,
                        restart,
                        () -> components.traffic().execute(() -> startBooking(request, body, answerWriter))));
    }

    private void startBooking(ValidatedRequest request, byte[] body, BookingAnswerWriter answerWriter) {
        BookingRun run = new BookingRun(
                request,
                components,
                answerWriter,
                outcomeListener -> components.control().execute(() -> dispatchBooking(request, body, outcomeListener)));
        run.start();
        components.ticker().add(new LongConsumer() {
            @Override
            public void accept(long nowMs) {
                run.tick(nowMs);
                if (run.isDone()) {
                    components.ticker().remove(this);
                }
            }
        });
    }

    private void dispatchBooking(ValidatedRequest request, byte[] body, CallOutcomeListener outcomeListener) {
        Either<RoutingRefusal, RoutingDecision> routed =
                components.routing().choose(request.key().value(), request.routingRequest());
        if (!routed.isRight()) {
            release(request);
            components
                    .traffic()
                    .execute(() -> outcomeListener.failed(routed.getLeft().code(), NOT_DISPATCHED));
            return;
        }
        UpstreamName upstream = routed.get().upstream();
        components.registry().update(request.key(), request.bodyDigest(), upstream, false);
        new CallRun(
                        request,
                        components,
                        limits(request, 0, request.service().priceTokens()),
                        "POST",
                        request.service().path(),
                        body,
                        outcomeListener)
                .begin(upstream);
    }

    private void readStatus(ValidatedRequest request, String subPath, CallerResponse response, Runnable restart) {
        String path = request.service().path() + (subPath.isEmpty() ? "" : "/" + subPath);
        if (!SubPaths.isBelow(subPath)) {
            refuse(response, Optional.of(request), ErrorCode.INVALID_REQUEST, "the path must not contain ..");
            return;
        }
        StatusAnswerWriter answerWriter = new StatusAnswerWriter(request, components, response);
        components
                .control()
                .execute(() -> admit(
                        request,
                        request.service().priceTokens(),
                        response,
                        restart,
                        () -> route(
                                request,
                                request.routingRequest(),
                                response,
                                upstream -> new CallRun(
                                                request,
                                                components,
                                                limits(
                                                        request,
                                                        0,
                                                        request.service().priceTokens()),
                                                "GET",
                                                path,
                                                new byte[0],
                                                answerWriter)
                                        .begin(upstream))));
    }

    private DispatchLimits limits(ValidatedRequest request, long promptTokens, long maxOutputTokens) {
        return DispatchLimits.of(request.service().kind(), components.clock().nowMs(), promptTokens, maxOutputTokens)
                .within(components.firstByteTimeoutMs(), components.betweenTokensTimeoutMs());
    }

    /**
     * Asks for admission; must be called on the control thread. If the configuration changed while the request waited,
     * the request is read again, because its limits, upstreams and permissions may have changed.
     */
    private void admit(
            ValidatedRequest request,
            long worstCaseTokens,
            CallerResponse response,
            Runnable restart,
            Runnable onStart) {
        RequestKind kind = request.service().kind();
        AdmissionRequest admissionRequest = new AdmissionRequest(
                request.id(),
                request.budget(),
                request.organisation(),
                request.priority(),
                kind,
                worstCaseTokens,
                request.arrivedAtMs(),
                request.arrivedAtMs() + kind.deadlineMs(),
                maxInFlight(request));
        components.admission().requestAdmission(admissionRequest, new AdmissionCallback() {
            @Override
            public void admitted() {
                if (components.configuration().view().version() != request.fleetVersion()) {
                    release(request);
                    restart.run();
                    return;
                }
                long queuedMs = components.clock().nowMs() - request.arrivedAtMs();
                components.metrics().recordQueueTime(kind, queuedMs);
                components
                        .decisions()
                        .record(
                                "admission",
                                request.key().value(),
                                "admitted organisation=%s service=%s kind=%s budget=%s reserved_tokens=%d queued_ms=%d",
                                request.organisation(),
                                request.service().name(),
                                kind.configName(),
                                request.budget(),
                                worstCaseTokens,
                                queuedMs);
                onStart.run();
            }

            @Override
            public void refused(ErrorCode code, String message) {
                boolean covered = components.admission().unallocatedTokens(request.budget()) >= worstCaseTokens;
                if (code == ErrorCode.BUDGET_EXHAUSTED && covered) {
                    components.metrics().countFalseRefusal(kind);
                }
                refuse(response, Optional.of(request), code, message);
            }
        });
    }

    private int maxInFlight(ValidatedRequest request) {
        OrganisationSpec organisation =
                components.configuration().view().spec().organisations().get(request.organisation());
        return organisation == null ? 1 : organisation.maxInFlight();
    }

    /** Chooses an upstream for an admitted request; must be called on the control thread. */
    private void route(
            ValidatedRequest request,
            RoutingRequest routing,
            CallerResponse response,
            Consumer<UpstreamName> onChosen) {
        if (!components.configuration().isFresh()) {
            release(request);
            refuse(
                    response,
                    Optional.of(request),
                    ErrorCode.CONFIGURATION_STALE,
                    "the configuration of this router is not confirmed");
            return;
        }
        Either<RoutingRefusal, RoutingDecision> routed =
                components.routing().choose(request.key().value(), routing);
        if (!routed.isRight()) {
            release(request);
            refuse(
                    response,
                    Optional.of(request),
                    routed.getLeft().code(),
                    routed.getLeft().reason());
            return;
        }
        onChosen.accept(routed.get().upstream());
    }

    private void release(ValidatedRequest request) {
        components
                .admission()
                .handle(new AdmissionEvent.RequestReleased(
                        request.id(), components.clock().nowMs()));
    }

    private void refuse(CallerResponse response, Optional<ValidatedRequest> request, ErrorCode code, String message) {
        String requestId = request.map(validated -> validated.key().value()).orElse("");
        components
                .decisions()
                .record(
                        "admission",
                        requestId.isEmpty() ? "-" : requestId,
                        "refused code=%s message=\"%s\"",
                        code.code(),
                        message);
        components
                .metrics()
                .countRefusal(request.map(validated -> validated.service().kind()), code);
        String body = ErrorBody.of(code, NOT_DISPATCHED, message, requestId);
        components
                .traffic()
                .execute(() -> response.send(
                        code.httpStatus(), GenerationAnswerWriter.JSON, body.getBytes(StandardCharsets.UTF_8)));
    }
}
