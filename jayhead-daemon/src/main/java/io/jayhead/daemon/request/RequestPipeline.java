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

/** Takes requests of callers through admission, routing, dispatch and settlement. */
public final class RequestPipeline implements CallerHandler {

    private static final Verdict NOT_DISPATCHED = Verdict.notRun(NotRunProof.BEFORE_DISPATCH);

    private final Services services;
    private final RequestReader reader;

    /**
     * Creates the pipeline.
     *
     * @param services what requests need
     */
    public RequestPipeline(Services services) {
        this.services = services;
        this.reader = new RequestReader(services.self().zone());
    }

    @Override
    public void handle(CallerRequest request, CallerResponse response) {
        services.traffic().execute(() -> read(request, response));
    }

    private void read(CallerRequest request, CallerResponse response) {
        Either<RequestReader.Refusal, RequestReader.Reading> result = reader.read(
                request, services.configuration().view(), services.clock().nowMs());
        if (!result.isRight()) {
            RequestReader.Refusal refusal = result.getLeft();
            // An unknown key or service may be known to a newer configuration.
            boolean stale = !services.configuration().isFresh();
            refuse(
                    response,
                    Optional.empty(),
                    stale ? ErrorCode.CONFIGURATION_STALE : refusal.code(),
                    stale ? "the configuration of this router is not confirmed" : refusal.message());
            return;
        }
        RequestReader.Reading reading = result.get();
        Runnable restart = () -> handle(request, response);
        services.retries().countRequest();
        if (reading.generation().isPresent()) {
            generate(reading.request(), reading.generation().get(), reading.model(), response, restart);
        } else if (reading.request().service().kind() == RequestKind.BOOKING) {
            book(reading.request(), request.body(), response, restart);
        } else {
            readStatus(reading.request(), request.subPath(), response, restart);
        }
    }

    private void generate(
            AdmittedRequest request, GenerationBody body, String model, CallerResponse response, Runnable restart) {
        int cap = request.service().maxOutputTokens();
        int maxTokens = body.maxTokens() == 0 ? cap : Math.min(cap, body.maxTokens());
        long promptTokens = body.promptTokensBound();
        Consumer<Optional<UpstreamName>> start = preferred -> admit(
                request,
                promptTokens + maxTokens,
                response,
                restart,
                () -> route(request, request.routing().retry(Set.of(), preferred), response, upstream -> {
                    DispatchLimits limits = limits(request, promptTokens, maxTokens);
                    CallerAnswer answer = new CallerAnswer(response, body.stream(), request.key());
                    GenerationRun run = new GenerationRun(request, services, limits, body, model, answer);
                    response.onClose(run::callerGone);
                    run.begin(upstream);
                }));
        if (!request.keyed()) {
            services.control().execute(() -> start.accept(Optional.empty()));
            return;
        }
        services.control()
                .execute(() -> services.registry().begin(request.key(), request.bodyDigest(), lookup -> {
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

    private void book(AdmittedRequest request, byte[] body, CallerResponse response, Runnable restart) {
        BookingAnswer answer = new BookingAnswer(request, services, response);
        if (services.platform().isDown()) {
            answer.refuseInOutage("bookings need the platform, which does not answer");
            return;
        }
        long priceTokens = request.service().priceTokens();
        services.control()
                .execute(() -> admit(
                        request,
                        priceTokens,
                        response,
                        restart,
                        () -> services.traffic().execute(() -> startBooking(request, body, answer))));
    }

    private void startBooking(AdmittedRequest request, byte[] body, BookingAnswer answer) {
        BookingRun run = new BookingRun(
                request,
                services,
                answer,
                outcome -> services.control().execute(() -> dispatchBooking(request, body, outcome)));
        run.start();
        services.ticker().add(new LongConsumer() {
            @Override
            public void accept(long nowMs) {
                run.tick(nowMs);
                if (run.isDone()) {
                    services.ticker().remove(this);
                }
            }
        });
    }

    private void dispatchBooking(AdmittedRequest request, byte[] body, CallOutcome outcome) {
        Either<RoutingRefusal, RoutingDecision> routed =
                services.routing().choose(request.key().value(), request.routing());
        if (!routed.isRight()) {
            release(request);
            services.traffic().execute(() -> outcome.failed(routed.getLeft().code(), NOT_DISPATCHED));
            return;
        }
        UpstreamName upstream = routed.get().upstream();
        services.registry().update(request.key(), request.bodyDigest(), upstream, false);
        new CallRun(
                        request,
                        services,
                        limits(request, 0, request.service().priceTokens()),
                        "POST",
                        request.service().path(),
                        body,
                        outcome)
                .begin(upstream);
    }

    private void readStatus(AdmittedRequest request, String subPath, CallerResponse response, Runnable restart) {
        String path = request.service().path() + (subPath.isEmpty() ? "" : "/" + subPath);
        if (!SubPaths.isBelow(subPath)) {
            refuse(response, Optional.of(request), ErrorCode.INVALID_REQUEST, "the path must not contain ..");
            return;
        }
        StatusAnswer answer = new StatusAnswer(request, services, response);
        services.control()
                .execute(() -> admit(
                        request,
                        request.service().priceTokens(),
                        response,
                        restart,
                        () -> route(
                                request,
                                request.routing(),
                                response,
                                upstream -> new CallRun(
                                                request,
                                                services,
                                                limits(
                                                        request,
                                                        0,
                                                        request.service().priceTokens()),
                                                "GET",
                                                path,
                                                new byte[0],
                                                answer)
                                        .begin(upstream))));
    }

    private DispatchLimits limits(AdmittedRequest request, long promptTokens, long maxOutputTokens) {
        return DispatchLimits.of(request.service().kind(), services.clock().nowMs(), promptTokens, maxOutputTokens)
                .within(services.firstByteTimeoutMs(), services.betweenTokensTimeoutMs());
    }

    /**
     * Asks for admission; belongs to the control thread. A request that was read under an older configuration than the
     * one in force when it may start is read again: its caps, upstreams and rights may have changed while it waited.
     */
    private void admit(
            AdmittedRequest request,
            long worstCaseTokens,
            CallerResponse response,
            Runnable restart,
            Runnable onStart) {
        RequestKind kind = request.service().kind();
        AdmissionRequest asked = new AdmissionRequest(
                request.id(),
                request.budget(),
                request.organisation(),
                request.priority(),
                kind,
                worstCaseTokens,
                request.arrivedAtMs(),
                request.arrivedAtMs() + kind.deadlineMs(),
                maxInFlight(request));
        services.admission().arrive(asked, new AdmissionCallback() {
            @Override
            public void started() {
                if (services.configuration().view().version() != request.fleetVersion()) {
                    release(request);
                    restart.run();
                    return;
                }
                long queuedMs = services.clock().nowMs() - request.arrivedAtMs();
                services.metrics().queued(kind, queuedMs);
                services.decisions()
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
                boolean covered = services.admission().unallocatedTokens(request.budget()) >= worstCaseTokens;
                if (code == ErrorCode.BUDGET_EXHAUSTED && covered) {
                    services.metrics().falselyRefused(kind);
                }
                refuse(response, Optional.of(request), code, message);
            }
        });
    }

    private int maxInFlight(AdmittedRequest request) {
        OrganisationSpec organisation =
                services.configuration().view().spec().organisations().get(request.organisation());
        return organisation == null ? 1 : organisation.maxInFlight();
    }

    /** Chooses an upstream for an admitted request; belongs to the control thread. */
    private void route(
            AdmittedRequest request, RoutingRequest routing, CallerResponse response, Consumer<UpstreamName> onChosen) {
        if (!services.configuration().isFresh()) {
            release(request);
            refuse(
                    response,
                    Optional.of(request),
                    ErrorCode.CONFIGURATION_STALE,
                    "the configuration of this router is not confirmed");
            return;
        }
        Either<RoutingRefusal, RoutingDecision> routed =
                services.routing().choose(request.key().value(), routing);
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

    private void release(AdmittedRequest request) {
        services.admission()
                .handle(new AdmissionEvent.RequestReleased(
                        request.id(), services.clock().nowMs()));
    }

    private void refuse(CallerResponse response, Optional<AdmittedRequest> request, ErrorCode code, String message) {
        String requestId = request.map(known -> known.key().value()).orElse("");
        services.decisions()
                .record(
                        "admission",
                        requestId.isEmpty() ? "-" : requestId,
                        "refused code=%s message=\"%s\"",
                        code.code(),
                        message);
        services.metrics().refused(request.map(known -> known.service().kind()), code);
        String body = ErrorBody.of(code, NOT_DISPATCHED, message, requestId);
        services.traffic()
                .execute(() ->
                        response.send(code.httpStatus(), CallerAnswer.JSON, body.getBytes(StandardCharsets.UTF_8)));
    }
}
