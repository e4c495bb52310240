package io.jayhead.daemon.request;

import io.jayhead.daemon.fleet.FleetView;
import io.jayhead.edge.CallerRequest;
import io.jayhead.edge.GenerationBody;
import io.jayhead.edge.IdempotencyKeys;
import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.Either;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.RequestKey;
import io.jayhead.model.RequestKind;
import io.jayhead.model.ServiceName;
import io.jayhead.model.fleet.BudgetSpec;
import io.jayhead.model.fleet.Dependency;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.IdempotencyKeySource;
import io.jayhead.model.fleet.ModelSpec;
import io.jayhead.model.fleet.OrganisationSpec;
import io.jayhead.model.fleet.ServiceSpec;
import io.jayhead.routing.RoutingRequest;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/** Determines the organisation, the service and the budget of a request, and validates the request. */
final class RequestReader {

    private static final int PREFIX_CHARACTERS = 256;

    private final AvailabilityZone zone;
    private final AtomicLong arrivals = new AtomicLong();

    RequestReader(AvailabilityZone zone) {
        this.zone = zone;
    }

    /**
     * The reason why a request is refused before admission.
     *
     * @param code the error code
     * @param message the message for the caller
     */
    record Refusal(ErrorCode code, String message) {

        static <R> Either<Refusal, R> of(ErrorCode code, String message) {
            return Either.left(new Refusal(code, message));
        }
    }

    /**
     * The result of reading a valid request.
     *
     * @param request the request
     * @param generation the parsed body of a generation; empty for plain services
     * @param model the name by which engines know the model of a generation; empty for plain services and for services
     *     that depend on no model
     */
    record ParsedRequest(ValidatedRequest request, Optional<GenerationBody> generation, String model) {}

    Either<Refusal, ParsedRequest> read(CallerRequest request, FleetView view, long nowMs) {
        FleetSpec fleet = view.spec();
        OrganisationSpec organisation = request.bearerCredential()
                .map(RequestKey::sha256)
                .map(fleet.organisationsByKeyDigest()::get)
                .orElse(null);
        if (organisation == null) {
            return Refusal.of(ErrorCode.UNAUTHENTICATED, "the API key is missing or unknown");
        }
        ServiceSpec service =
                request.service().isBlank() ? null : fleet.services().get(ServiceName.of(request.service()));
        if (service == null) {
            return Refusal.of(ErrorCode.NOT_FOUND, "there is no service " + request.service());
        }
        Optional<BudgetSpec> budget = fleet.budgetFor(organisation.name(), service.name());
        if (budget.isEmpty()) {
            return Refusal.of(ErrorCode.FORBIDDEN, "no budget of the organisation pays for this service");
        }
        boolean statusRead = service.kind() == RequestKind.STATUS_READ;
        if (statusRead != "GET".equals(request.method())) {
            return Refusal.of(ErrorCode.INVALID_REQUEST, "expected method " + (statusRead ? "GET" : "POST"));
        }
        return read(request, view, organisation, service, budget.get(), nowMs);
    }

    private Either<Refusal, ParsedRequest> read(
            CallerRequest request,
            FleetView view,
            OrganisationSpec organisation,
            ServiceSpec service,
            BudgetSpec budget,
            long nowMs) {
        Optional<String> idempotencyKey = IdempotencyKeys.find(service.idempotencyKeySource(), request);
        if (service.kind() == RequestKind.BOOKING && idempotencyKey.isEmpty()) {
            return Refusal.of(
                    ErrorCode.IDEMPOTENCY_KEY_MISSING,
                    "this service needs an idempotency key in " + keyLocation(service.idempotencyKeySource()));
        }
        if (!service.kind().isGeneration()) {
            return Either.right(new ParsedRequest(
                    validated(request, view.version(), organisation, service, budget, idempotencyKey, "", 0, nowMs),
                    Optional.empty(),
                    ""));
        }
        String model = model(view.spec(), service);
        return GenerationBody.parse(request.body())
                .<Either<Refusal, ParsedRequest>>fold(
                        problem -> Refusal.of(ErrorCode.INVALID_REQUEST, problem),
                        body -> Either.right(new ParsedRequest(
                                validated(
                                        request,
                                        view.version(),
                                        organisation,
                                        service,
                                        budget,
                                        idempotencyKey,
                                        prefix(model, body.prompt()),
                                        body.maxPromptTokens(),
                                        nowMs),
                                Optional.of(body),
                                model)));
    }

    private static String keyLocation(IdempotencyKeySource source) {
        if (source instanceof IdempotencyKeySource.Header header) {
            return "the header " + header.name();
        }
        return source instanceof IdempotencyKeySource.Pointer pointer ? "the body at " + pointer.pointer() : "no field";
    }

    private ValidatedRequest validated(
            CallerRequest request,
            long fleetVersion,
            OrganisationSpec organisation,
            ServiceSpec service,
            BudgetSpec budget,
            Optional<String> idempotencyKey,
            String prefix,
            long promptTokens,
            long nowMs) {
        String uniqueKey = idempotencyKey.orElseGet(() -> "random:" + UUID.randomUUID());
        RequestKey key = RequestKey.of(organisation.name(), service.name(), uniqueKey);
        int priority = (service.kind().priority() + organisation.priority()) / 2;
        return new ValidatedRequest(
                key.value() + "#" + arrivals.incrementAndGet(),
                key,
                idempotencyKey.isPresent(),
                organisation.name(),
                service,
                budget.id(),
                priority,
                RoutingRequest.of(service.name(), priority, prefix, promptTokens, zone),
                fleetVersion,
                RequestKey.sha256(new String(request.body(), StandardCharsets.UTF_8)),
                nowMs);
    }

    /**
     * Returns the name by which engines know the model of a service, which is the name of its weights; empty if the
     * service depends on no model.
     */
    private static String model(FleetSpec fleet, ServiceSpec service) {
        return service.dependsOn().stream()
                .filter(dependency -> dependency.type() == Dependency.Type.MODEL)
                .map(dependency -> fleet.models().get(dependency.name()))
                .map(ModelSpec::weights)
                .findFirst()
                .orElse("");
    }

    private static String prefix(String model, String prompt) {
        String start = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
        return RequestKey.sha256(model + "\n" + start);
    }
}
