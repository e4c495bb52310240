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
 * Applies configuration changes that operators request.
 *
 * <p>A change is durable as soon as the conditional write has taken effect. It is reported as accepted only when a
 * majority of the registered routers has adopted it, and every other router either has adopted it as well or is no
 * longer fresh and takes no new work; see {@link Acceptance}.
 */
public final class FleetChanges {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long CHECK_PERIOD_MS = 20;

    /** 1.5 times the 3 s within which a change must be in force. */
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
     * @param configuration the configuration of this router, which adopts the change
     * @param membership reads the registered routers from the platform
     * @param heartbeats pushes the change to other routers
     * @param control the thread on which outcomes of writes are handled
     * @param clock the time source
     * @param editor edits objects of the platform
     * @param freshnessLimitMs how long a confirmation remains valid, in milliseconds
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
     * Applies a change. Repeating the latest change with the same id writes nothing. The future completes when the
     * change is accepted, refused or failed, or when the wait for its acceptance times out.
     *
     * @param expectedVersion the version on which the change is based; any other current version is a conflict
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
                        FleetPoller.KIND, FleetPoller.NAME, body -> nextDocument(body, expectedVersion, changeId, text))
                .thenComposeAsync(result -> onWriteResult(result, changeId), control::execute);
    }

    private static Either<FleetDocument, String> nextDocument(
            Optional<String> body, long expectedVersion, String changeId, String text) {
        FleetDocument current = body.map(FleetDocument::decode).orElseGet(FleetDocument::empty);
        if (current.version() != expectedVersion || current.changeId().equals(changeId)) {
            return Either.left(current);
        }
        return Either.right(new FleetDocument(expectedVersion + 1, changeId, text).encode());
    }

    private CompletableFuture<ApplyOutcome> onWriteResult(EditResult<FleetDocument> result, String changeId) {
        LOGGER.atInfo().log(
                "configuration change=%s write=%s", changeId, result.getClass().getSimpleName());
        if (result instanceof EditResult.Edited<FleetDocument> edited) {
            return propagate(FleetDocument.decode(edited.body()));
        }
        if (result instanceof EditResult.Refused<FleetDocument> refused) {
            FleetDocument current = refused.refusal();
            return current.changeId().equals(changeId)
                    ? propagate(current)
                    : CompletableFuture.completedFuture(new ApplyOutcome.Conflict(current.version()));
        }
        if (result instanceof EditResult.Unknown<FleetDocument> unknown) {
            return CompletableFuture.completedFuture(new ApplyOutcome.Unknown(unknown.reason()));
        }
        String reason = result instanceof EditResult.Unavailable<FleetDocument> unavailable
                ? unavailable.reason()
                : "every attempt conflicted with another write";
        return CompletableFuture.completedFuture(new ApplyOutcome.Unavailable(reason));
    }

    private CompletableFuture<ApplyOutcome> propagate(FleetDocument document) {
        long writtenAtMs = clock.nowMs();
        configuration.adopt(document, "apply");
        membership.refresh();
        heartbeats.pushAll(() -> {});
        CompletableFuture<ApplyOutcome> outcome = new CompletableFuture<>();
        awaitAcceptance(Acceptance.of(document.version(), writtenAtMs), outcome);
        return outcome;
    }

    private void awaitAcceptance(Acceptance acceptance, CompletableFuture<ApplyOutcome> outcome) {
        long nowMs = clock.nowMs();
        Acceptance updated = acceptance.listRead(membership.listReadAtMs()).observed(configuration.tracker(), nowMs);
        if (updated.isAccepted(configuration.tracker(), nowMs, freshnessLimitMs)) {
            outcome.complete(new ApplyOutcome.Accepted(updated.version()));
            return;
        }
        if (nowMs - updated.writtenAtMs() >= ACCEPT_TIMEOUT_MS) {
            outcome.complete(new ApplyOutcome.Written(updated.version()));
            return;
        }
        control.after(CHECK_PERIOD_MS, () -> awaitAcceptance(updated, outcome));
    }
}
