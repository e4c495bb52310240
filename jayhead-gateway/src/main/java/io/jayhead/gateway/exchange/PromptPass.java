package io.jayhead.gateway.exchange;

import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.quarantine.PromptGuard;
import io.jayhead.gateway.quarantine.PromptTrial;
import io.jayhead.gateway.upstream.UpstreamHandle;
import io.jayhead.gateway.wire.CallerMetadata;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Keeps one request from being sent while a part of its prompt is blocked, unless it is a trial, and reports what its
 * attempts show about the parts; used by the traffic thread.
 */
final class PromptPass {

    private final PromptGuard guard;
    private final Supplier<RoutingSnapshot> snapshot;
    private final CallerMetadata metadata;
    private Optional<PromptTrial> trial = Optional.empty();
    private boolean sent;
    private boolean ended;

    PromptPass(PromptGuard guard, Supplier<RoutingSnapshot> snapshot, CallerMetadata metadata) {
        this.guard = guard;
        this.snapshot = snapshot;
        this.metadata = metadata;
    }

    /**
     * Asks whether the request may go on; neither action is run after it has ended.
     *
     * @param onAllowed runs if no part is blocked or the request is a trial, possibly before this method returns
     * @param onBlocked runs otherwise
     */
    void enter(Runnable onAllowed, Runnable onBlocked) {
        if (!isBlocked()) {
            onAllowed.run();
            return;
        }
        guard.requestTrial(metadata.sharedPartIds(), given -> {
            if (ended) {
                given.ifPresent(guard::unused);
                return;
            }
            trial = given;
            (given.isPresent() ? onAllowed : onBlocked).run();
        });
    }

    /** Tells whether the request may be sent now; a trial may be sent once. */
    boolean maySend() {
        return !isBlocked() || trial.isPresent() && !sent;
    }

    /** Records that the request is sent. */
    void sent() {
        sent = true;
    }

    /** Records a whole answer, or the second event of one. */
    void answered() {
        guard.answered(metadata.sharedParts());
    }

    /** Records that an upstream closed the connection before the second event of its answer. */
    void closedBeforeAnswer(UpstreamHandle upstream) {
        guard.closedBeforeAnswer(metadata.requestId(), metadata.sharedParts(), upstream);
    }

    /** Returns the milliseconds after which the caller of a blocked request should come back. */
    long retryDelayMs() {
        return guard.nextTrialInMs(metadata.sharedPartIds()).orElse(Refusal.PROMPT_BLOCKED.retryAfterMs());
    }

    /** Ends the request; a trial that was not sent is left to the next one. */
    void end() {
        ended = true;
        if (!sent) {
            trial.ifPresent(guard::unused);
        }
    }

    private boolean isBlocked() {
        return snapshot.get().quarantine().blocks(metadata.sharedPartIds());
    }
}
