package io.jayhead.gateway.quarantine;

import io.jayhead.admission.quarantine.PartCrashes;
import io.jayhead.admission.quarantine.PromptQuarantine;
import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.upstream.UpstreamHandle;
import io.jayhead.gateway.wire.PromptPart;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Watches the attempts of this router for parts of prompts under which upstreams end; used by the traffic thread.
 *
 * <p>An upstream has ended if it closes the connection before the second event of its answer and accepts no new one.
 * One that resets single connections goes on listening.
 */
public final class PromptGuard {

    /** Several routers see the first answer under a recorded part; the first one that reports it is enough. */
    private static final int MAX_REPORT_DELAY_MS = 300;
    /** Longer names are no identities of parts. */
    private static final int MAX_NAME_LENGTH = 64;

    private final EventLoop loop;
    private final Supplier<RoutingSnapshot> snapshot;
    private final CrashListener listener;
    private final StructuredLog log;
    private final PartHistory history = new PartHistory();
    /** Trials by part whose request ended before it was sent. */
    private final Map<String, PromptTrial> unusedTrials = new HashMap<>();

    /**
     * Creates a guard that has seen nothing.
     *
     * @param loop the traffic thread
     * @param snapshot returns the newest routing snapshot
     * @param listener receives what the guard finds
     * @param log receives the ends of upstreams
     */
    public PromptGuard(EventLoop loop, Supplier<RoutingSnapshot> snapshot, CrashListener listener, StructuredLog log) {
        this.loop = loop;
        this.snapshot = snapshot;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Records a whole answer, or the second event of one.
     *
     * @param sharedParts the parts of the prompt that other prompts may share
     */
    public void answered(List<PromptPart> sharedParts) {
        for (PromptPart part : sharedParts) {
            history.answered(part.id());
            if (isRecorded(part.id())) {
                int delayMs = ThreadLocalRandom.current().nextInt(MAX_REPORT_DELAY_MS);
                loop.schedule(() -> reportAnswer(part.id()), delayMs, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void reportAnswer(String part) {
        if (isRecorded(part)) {
            listener.answered(part);
        }
    }

    private boolean isRecorded(String part) {
        return snapshot.get().quarantine().find(part).isPresent();
    }

    /**
     * Records a connection that the upstream closed before the second event of its answer.
     *
     * @param requestId the request
     * @param sharedParts the parts of its prompt that other prompts may share
     * @param upstream the upstream
     */
    public void closedBeforeAnswer(String requestId, List<PromptPart> sharedParts, UpstreamHandle upstream) {
        if (!sharedParts.isEmpty()) {
            upstream.ifNotListening(
                    () -> ended(requestId, sharedParts, upstream.upstream().incarnation()));
        }
    }

    /**
     * Asks whether a request may be sent as a trial although a part of its prompt is blocked.
     *
     * @param sharedParts the identities of the parts of its prompt that other prompts may share
     * @param decided receives the trial, or empty if the request must not be sent; possibly before this method returns
     */
    public void requestTrial(List<String> sharedParts, Consumer<Optional<PromptTrial>> decided) {
        PromptQuarantine quarantine = snapshot.get().quarantine();
        Optional<String> part = quarantine.onlyBlocked(sharedParts);
        if (part.isEmpty()) {
            decided.accept(Optional.empty());
            return;
        }
        PromptTrial unused = unusedTrials.remove(part.get());
        if (unused != null && isOnRecord(unused, quarantine)) {
            decided.accept(Optional.of(unused));
        } else if (isDue(part.get(), quarantine)) {
            listener.requestTrial(part.get(), trial -> loop.execute(() -> decided.accept(trial)));
        } else {
            decided.accept(Optional.empty());
        }
    }

    /**
     * Takes a trial back whose request was not sent.
     *
     * @param trial the trial
     */
    public void unused(PromptTrial trial) {
        unusedTrials.put(trial.part(), trial);
    }

    /**
     * Returns when a request with a blocked part may come again.
     *
     * @param sharedParts the identities of the parts of its prompt that other prompts may share
     * @return the milliseconds until a trial is due; empty if none will be
     */
    public OptionalLong nextTrialInMs(List<String> sharedParts) {
        PromptQuarantine quarantine = snapshot.get().quarantine();
        return quarantine
                .onlyBlocked(sharedParts)
                .map(part -> quarantine.nextTrialInMs(part, nowMs()))
                .orElse(OptionalLong.empty());
    }

    /** Tells whether a trial belongs to the present record of its part, and not to one that was removed. */
    private static boolean isOnRecord(PromptTrial trial, PromptQuarantine quarantine) {
        return quarantine
                .find(trial.part())
                .filter(crashes -> crashes.trials().contains(trial.id()))
                .isPresent();
    }

    private static boolean isDue(String part, PromptQuarantine quarantine) {
        return quarantine.nextTrialInMs(part, nowMs()).orElse(1) == 0;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private void ended(String requestId, List<PromptPart> sharedParts, String incarnation) {
        List<PartCrashes> reports = new ArrayList<>();
        long atMs = System.currentTimeMillis();
        for (int depth = 0; depth < sharedParts.size(); depth++) {
            String part = sharedParts.get(depth).id();
            if (part.isEmpty() || part.length() > MAX_NAME_LENGTH) {
                continue;
            }
            Optional<PartCrashes> report = history.crashed(part, depth, incarnation, atMs);
            report.ifPresent(reports::add);
        }
        log.write(
                LogKind.STATE,
                "upstream ended before an answer",
                "request_id",
                requestId,
                "upstream",
                incarnation,
                "reported_parts",
                reports.stream().map(PartCrashes::part).toList());
        if (!reports.isEmpty()) {
            listener.crashed(reports);
        }
    }
}
