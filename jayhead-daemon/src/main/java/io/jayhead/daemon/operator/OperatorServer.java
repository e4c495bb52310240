package io.jayhead.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.admission.budget.LedgerRefusal;
import io.jayhead.daemon.budget.BudgetLedgerEditor;
import io.jayhead.daemon.budget.LedgerCodec;
import io.jayhead.daemon.charge.ChargeLogReader;
import io.jayhead.daemon.fleet.ApplyOutcome;
import io.jayhead.daemon.fleet.FleetChanges;
import io.jayhead.daemon.fleet.FleetDocument;
import io.jayhead.daemon.fleet.FleetView;
import io.jayhead.daemon.observe.DecisionLog;
import io.jayhead.daemon.observe.RouterMetrics;
import io.jayhead.edge.CallerServer;
import io.jayhead.edge.ErrorBody;
import io.jayhead.model.BudgetId;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.RequestKey;
import io.jayhead.model.Verdict;
import io.jayhead.platform.EditResult;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Route;
import io.jooby.Server;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

/** Serves the operators' HTTP interface, version 1. */
public final class OperatorServer implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BEARER_PREFIX = "Bearer ";

    private final Components components;
    private Server server;

    private OperatorServer(Components components) {
        this.components = components;
    }

    /**
     * The components that the interface uses.
     *
     * @param credentialDigest the SHA-256 of the operators' credential in hexadecimal digits
     * @param configuration returns the configuration in force
     * @param changes applies new fleet texts
     * @param ledgers reads and tops up budgets
     * @param chargeLogReader sums the charges of a budget
     * @param status returns the status document of this router
     * @param decisions the decision log
     * @param metrics the metrics
     * @param ready tells whether this router accepts new requests
     */
    public record Components(
            String credentialDigest,
            Supplier<FleetView> configuration,
            FleetChanges changes,
            BudgetLedgerEditor ledgers,
            ChargeLogReader chargeLogReader,
            Supplier<CompletableFuture<ObjectNode>> status,
            DecisionLog decisions,
            RouterMetrics metrics,
            BooleanSupplier ready) {}

    /**
     * Starts a server.
     *
     * @param address the address to listen on
     * @param components the components that the interface uses
     * @return the running server
     */
    public static OperatorServer start(InetSocketAddress address, Components components) {
        OperatorServer operators = new OperatorServer(components);
        operators.server = CallerServer.startApplication(operators.routes(), address);
        return operators;
    }

    @Override
    public void close() {
        server.stop();
    }

    private Jooby routes() {
        Jooby app = new Jooby();
        app.get("/ready", context -> {
            boolean ready = components.ready().getAsBoolean();
            return send(context, ready ? 200 : 503, MAPPER.createObjectNode().put("ready", ready));
        });
        app.get("/metrics", context -> {
            context.setResponseType("text/plain; version=0.0.4");
            return context.send(components.metrics().expose());
        });
        app.get(
                "/operator/v1/status",
                authenticated(context -> components.status().get().thenApply(Answer::ok)));
        app.get("/operator/v1/fleet", authenticated(context -> completed(fleet())));
        app.put("/operator/v1/fleet", authenticated(this::apply));
        app.get("/operator/v1/budgets/{organisation}/{budget}", authenticated(this::budget));
        app.post("/operator/v1/budgets/{organisation}/{budget}/topups", authenticated(this::topUp));
        app.get("/operator/v1/requests/{id}", authenticated(context -> completed(explain(context))));
        app.error((context, cause, status) -> send(
                context,
                status.value(),
                error(
                        status.value() == 404 ? ErrorCode.NOT_FOUND : ErrorCode.INVALID_REQUEST,
                        String.valueOf(cause.getMessage()))));
        return app;
    }

    private record Answer(int status, ObjectNode body) {

        static Answer ok(ObjectNode body) {
            return new Answer(200, body);
        }

        static Answer failed(ErrorCode code, String message) {
            return new Answer(code.httpStatus(), error(code, message));
        }
    }

    private Route.Handler authenticated(Function<Context, CompletableFuture<Answer>> handler) {
        return context -> {
            if (!isAuthorized(context)) {
                return send(context, 401, error(ErrorCode.UNAUTHENTICATED, "the operators' credential is missing"));
            }
            handler.apply(context).whenComplete((answer, failure) -> {
                if (failure == null) {
                    send(context, answer.status(), answer.body());
                } else {
                    send(context, 500, error(ErrorCode.INTERNAL, String.valueOf(failure.getMessage())));
                }
            });
            return context;
        };
    }

    private boolean isAuthorized(Context context) {
        String header = context.header("Authorization").value("");
        if (!header.startsWith(BEARER_PREFIX)) {
            return false;
        }
        String digest =
                RequestKey.sha256(header.substring(BEARER_PREFIX.length()).trim());
        return MessageDigest.isEqual(
                digest.getBytes(StandardCharsets.US_ASCII),
                components.credentialDigest().getBytes(StandardCharsets.US_ASCII));
    }

    private Answer fleet() {
        FleetDocument document = components.configuration().get().document();
        if (document.version() == 0) {
            return Answer.failed(ErrorCode.NOT_FOUND, "no fleet text has been applied");
        }
        return Answer.ok(MAPPER.createObjectNode()
                .put("version", document.version())
                .put("change_id", document.changeId())
                .put("text", document.text()));
    }

    private CompletableFuture<Answer> apply(Context context) {
        JsonNode body = body(context);
        boolean complete = body.path("expected_version").isIntegralNumber()
                && !body.path("change_id").asText().isBlank()
                && body.path("text").isTextual();
        if (!complete) {
            return completed(Answer.failed(
                    ErrorCode.INVALID_REQUEST, "expected expected_version (number), change_id (text) and text (text)"));
        }
        return components
                .changes()
                .apply(
                        body.path("expected_version").asLong(),
                        body.path("change_id").asText(),
                        body.path("text").asText())
                .thenApply(OperatorServer::applyAnswer);
    }

    private static Answer applyAnswer(ApplyOutcome outcome) {
        if (outcome instanceof ApplyOutcome.Accepted accepted) {
            return Answer.ok(state(accepted.version(), "accepted"));
        }
        if (outcome instanceof ApplyOutcome.Written written) {
            return Answer.ok(state(written.version(), "written"));
        }
        if (outcome instanceof ApplyOutcome.Conflict conflict) {
            ObjectNode body = error(ErrorCode.CONFLICT, "another change won: version " + conflict.version());
            body.put("version", conflict.version());
            return new Answer(ErrorCode.CONFLICT.httpStatus(), body);
        }
        if (outcome instanceof ApplyOutcome.Invalid invalid) {
            ObjectNode body = error(ErrorCode.INVALID_CONFIGURATION, "the fleet text is invalid");
            ArrayNode problems = body.putArray("problems");
            invalid.problems().forEach(problem -> problems.add(problem.toString()));
            return new Answer(ErrorCode.INVALID_CONFIGURATION.httpStatus(), body);
        }
        if (outcome instanceof ApplyOutcome.Unknown unknown) {
            ObjectNode body = MAPPER.createObjectNode();
            body.putObject("error")
                    .put("code", ErrorCode.PLATFORM_UNAVAILABLE.code())
                    .put("verdict", Verdict.mayHaveRun().code())
                    .put("message", "the write may have taken effect: " + unknown.reason());
            return new Answer(504, body);
        }
        return Answer.failed(ErrorCode.PLATFORM_UNAVAILABLE, ((ApplyOutcome.Unavailable) outcome).reason());
    }

    private static ObjectNode state(long version, String state) {
        return MAPPER.createObjectNode().put("version", version).put("state", state);
    }

    private CompletableFuture<Answer> budget(Context context) {
        BudgetId id = budgetId(context);
        if (!isKnown(id)) {
            return completed(Answer.failed(ErrorCode.NOT_FOUND, "there is no budget " + id));
        }
        return components
                .ledgers()
                .read(id)
                .thenCombine(components.chargeLogReader().billedTokens(id), OperatorServer::budget);
    }

    private static Answer budget(Optional<BudgetLedger> ledger, Optional<Long> billedTokens) {
        if (ledger.isEmpty() || billedTokens.isEmpty()) {
            return Answer.failed(ErrorCode.PLATFORM_UNAVAILABLE, "the platform does not answer");
        }
        return Answer.ok(BudgetDocument.of(ledger.get(), OptionalLong.of(billedTokens.get())));
    }

    private CompletableFuture<Answer> topUp(Context context) {
        BudgetId id = budgetId(context);
        JsonNode body = body(context);
        String topUpId = body.path("id").asText();
        JsonNode tokens = body.path("tokens");
        boolean validTokens = tokens.isIntegralNumber() && tokens.canConvertToLong() && tokens.longValue() > 0;
        if (!isKnown(id)) {
            return completed(Answer.failed(ErrorCode.NOT_FOUND, "there is no budget " + id));
        }
        if (topUpId.isBlank() || !validTokens) {
            return completed(
                    Answer.failed(ErrorCode.INVALID_REQUEST, "expected id (text) and tokens (whole number above 0)"));
        }
        return components.ledgers().topUp(id, topUpId, tokens.longValue()).thenApply(OperatorServer::topUpAnswer);
    }

    private static Answer topUpAnswer(EditResult<LedgerRefusal> result) {
        if (result instanceof EditResult.Edited<LedgerRefusal> edited) {
            return Answer.ok(BudgetDocument.of(LedgerCodec.decode(edited.body()), OptionalLong.empty()));
        }
        if (result instanceof EditResult.Refused<LedgerRefusal> refused) {
            return Answer.failed(ErrorCode.CONFLICT, "the top-up was refused: " + refused.refusal());
        }
        return Answer.failed(
                ErrorCode.PLATFORM_UNAVAILABLE, "repeat the top-up with the same id: it counts once; " + result);
    }

    private Answer explain(Context context) {
        String id = context.path("id").value();
        ObjectNode body = MAPPER.createObjectNode().put("request_id", id);
        ArrayNode lines = body.putArray("decisions");
        components.decisions().explain(id).forEach(lines::add);
        return lines.isEmpty()
                ? Answer.failed(ErrorCode.NOT_FOUND, "this router has no decision on request " + id)
                : Answer.ok(body);
    }

    private boolean isKnown(BudgetId id) {
        return components.configuration().get().spec().budgets().stream()
                .anyMatch(budget -> budget.id().equals(id));
    }

    private static BudgetId budgetId(Context context) {
        return BudgetId.of(
                context.path("organisation").value(), context.path("budget").value());
    }

    private static JsonNode body(Context context) {
        try {
            JsonNode body = MAPPER.readTree(context.body().value(""));
            return body == null ? MAPPER.createObjectNode() : body;
        } catch (JsonProcessingException e) {
            return MAPPER.createObjectNode();
        }
    }

    private static ObjectNode error(ErrorCode code, String message) {
        try {
            String json = ErrorBody.of(code, Verdict.notRun(NotRunProof.BEFORE_DISPATCH), message, "");
            return (ObjectNode) MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the error document is always JSON", e);
        }
    }

    private static Context send(Context context, int status, ObjectNode body) {
        context.setResponseCode(status);
        context.setResponseType("application/json");
        return context.send(body.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static CompletableFuture<Answer> completed(Answer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
