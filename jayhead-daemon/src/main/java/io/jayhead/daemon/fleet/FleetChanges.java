package io.jayhead.daemon.fleet;

import com.google.common.flogger.FluentLogger;
import io.jayhead.admission.freshness.Acceptance;
import io.jayhead.config.fleet.ConfigProblem;
import io.jayhead.config.fleet.FleetParser;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.model.Either;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.platform.EditResult;
import io.jayhead.platform.ObjectEditor;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Carries out changes of the configuration.
 *
 * <p>A change is durable once the conditional write took effect. It is reported as accepted only once a majority of
 * the registered routers has adopted it and every other one either has too or has lost its freshness, see
 * {@link Acceptance}.
 */
public final class FleetChanges {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long CHECK_PERIOD_MS = 20;

    /** Half as long again as the 3 s within which a change must be in force. */
    private static final long ACCEPT_TIMEOUT_MS = 4_500;

    private final Configuration configuration;
    private final Membership membership;
    private final Heartbeats heartbeats;
    private final ControlThread control;
    private final HybridClock clock;
    private final ObjectEditor editor;
    private final long freshnessLimitMs;

    /**
     * Creates the service.
     *
     * @param configuration the configuration of this router
     * @param membership reads the registered routers
     * @param heartbeats pushes the change to other routers
     * @param control the control thread
     * @param clock the clock
     * @param editor edits objects of the platform
     * @param freshnessLimitMs how long a confirmation counts
     */
    public FleetChanges(
            Configuration configuration,
            Membership membership,
            Heartbeats heartbeats,
            ControlThread control,
            HybridClock clock,
            ObjectEditor editor,
            long freshnessLimitMs) {
        this.configuration = configuration;
        this.membership = membership;
        this.heartbeats = heartbeats;
        this.control = control;
        this.clock = clock;
        this.editor = editor;
        this.freshnessLimitMs = freshnessLimitMs;
    }

    /**
     * Applies a change.
     *
     * @param expectedVersion the version that the operator saw
     * @param changeId identifies the change
     * @param text the new fleet text
     * @return the outcome
     */
    public CompletableFuture<ApplyOutcome> apply(long expectedVersion, String changeId, String text) {
        Either<List<ConfigProblem>, FleetSpec> parsed = FleetParser.parse(text);
        if (!parsed.isRight()) {
            return CompletableFuture.completedFuture(new ApplyOutcome.Invalid(parsed.getLeft()));
        }
        return editor.<FleetDocument>edit(
                        FleetPoller.KIND, FleetPoller.NAME, body -> change(body, expectedVersion, changeId, text))
                .thenComposeAsync(result -> written(result, changeId), control::execute);
    }

    private static Either<FleetDocument, String> change(
            Optional<String> body, long expectedVersion, String changeId, String text) {
        FleetDocument current = body.map(FleetDocument::decode).orElseGet(FleetDocument::empty);
        if (current.version() != expectedVersion || current.changeId().equals(changeId)) {
            return Either.left(current);
        }
        return Either.right(new FleetDocument(expectedVersion + 1, changeId, text).encode());
    }

    private CompletableFuture<ApplyOutcome> written(EditResult<FleetDocument> result, String changeId) {
        LOGGER.atInfo().log(
                "configuration change=%s write=%s", changeId, result.getClass().getSimpleName());
        if (result instanceof EditResult.Edited<FleetDocument> edited) {
            return spread(FleetDocument.decode(edited.body()));
        }
        if (result instanceof EditResult.Refused<FleetDocument> refused) {
            FleetDocument winner = refused.refusal();
            return winner.changeId().equals(changeId)
                    ? spread(winner)
                    : CompletableFuture.completedFuture(new ApplyOutcome.Conflict(winner.version()));
        }
        if (result instanceof EditResult.Unknown<FleetDocument> unknown) {
            return CompletableFuture.completedFuture(new ApplyOutcome.Unknown(unknown.reason()));
        }
        String reason = result instanceof EditResult.Unavailable<FleetDocument> unavailable
                ? unavailable.reason()
                : "other writers won every attempt";
        return CompletableFuture.completedFuture(new ApplyOutcome.Unavailable(reason));
    }

    private CompletableFuture<ApplyOutcome> spread(FleetDocument document) {
        long writtenAtMs = clock.nowMs();
        configuration.adopt(document, "apply");
        membership.refresh();
        heartbeats.pushAll(() -> {});
        CompletableFuture<ApplyOutcome> outcome = new CompletableFuture<>();
        await(Acceptance.of(document.version(), writtenAtMs), outcome);
        return outcome;
    }

    private void await(Acceptance acceptance, CompletableFuture<ApplyOutcome> outcome) {
        long nowMs = clock.nowMs();
        Acceptance next = acceptance.listRead(membership.listReadAtMs()).observed(configuration.tracker(), nowMs);
        if (next.isAccepted(configuration.tracker(), nowMs, freshnessLimitMs)) {
            outcome.complete(new ApplyOutcome.Accepted(next.version()));
            return;
        }
        if (nowMs - next.writtenAtMs() >= ACCEPT_TIMEOUT_MS) {
            outcome.complete(new ApplyOutcome.Written(next.version()));
            return;
        }
        control.after(CHECK_PERIOD_MS, () -> await(next, outcome));
    }
}
