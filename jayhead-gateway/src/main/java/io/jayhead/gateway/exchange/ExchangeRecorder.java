package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.AttemptOutcome;
import io.jayhead.dispatch.forward.ForwardDecision;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.wire.CallerMetadata;
import io.jayhead.routing.catalog.Organisation;
import java.util.Optional;

/** Writes the log lines and metrics of one exchange. */
final class ExchangeRecorder {

    static final String SERVED = "served";

    private static final double NS_PER_S = 1e9;

    private final GatewayContext context;
    private final CallerMetadata metadata;
    private final long startNs;

    ExchangeRecorder(GatewayContext context, CallerMetadata metadata, long startNs) {
        this.context = context;
        this.metadata = metadata;
        this.startNs = startNs;
    }

    void firstByte(String route) {
        context.metrics().firstByte(route, (System.nanoTime() - startNs) / NS_PER_S);
    }

    void attemptEnded(
            UpstreamAttempt attempt, AttemptOutcome outcome, String reason, ForwardDecision decision, long leftMs) {
        context.metrics().attemptFailed(outcome.name());
        context.log()
                .write(
                        LogKind.ATTEMPT,
                        "attempt ended",
                        "request_id",
                        metadata.requestId(),
                        "upstream",
                        upstream(attempt),
                        "shared_parts",
                        metadata.sharedPartIds(),
                        "outcome",
                        outcome,
                        "reason",
                        reason,
                        "decision",
                        decision,
                        "left_ms",
                        leftMs);
    }

    /** Records that a stream waits for its caller to read, without a place at an upstream. */
    void suspended(UpstreamAttempt attempt, long unreadMs, int events) {
        context.metrics().streamSuspended();
        context.log()
                .write(
                        LogKind.ATTEMPT,
                        "stream suspended",
                        "request_id",
                        metadata.requestId(),
                        "upstream",
                        upstream(attempt),
                        "unread_ms",
                        unreadMs,
                        "events",
                        events);
    }

    void ended(String outcome, Optional<AdmittedRequest> request, UpstreamAttempt lastAttempt, ExchangeCounts counts) {
        String route = request.map(admitted -> admitted.route().name()).orElse("none");
        context.metrics().answered(route, outcome);
        context.log()
                .write(
                        outcome.equals(SERVED) ? LogKind.SERVED : LogKind.FAILED,
                        outcome,
                        "request_id",
                        metadata.requestId(),
                        "route",
                        route,
                        "organisation",
                        request.flatMap(AdmittedRequest::organisation)
                                .map(Organisation::name)
                                .orElse(""),
                        "catalog_version",
                        context.snapshot().get().catalog().version(),
                        "upstream",
                        upstream(lastAttempt),
                        "sent_after_ms",
                        lastAttempt == null ? 0 : lastAttempt.sentAfterMs(),
                        "answer_status",
                        lastAttempt == null ? 0 : lastAttempt.statusCode(),
                        "earlier_requests",
                        lastAttempt == null ? 0 : lastAttempt.earlierRequests(),
                        "tries",
                        counts.tries(),
                        "may_have_run",
                        counts.mayHaveRun(),
                        "events",
                        counts.events(),
                        "consumed_tokens",
                        counts.consumedTokens(),
                        "elapsed_ms",
                        (System.nanoTime() - startNs) / 1_000_000);
    }

    private static String upstream(UpstreamAttempt attempt) {
        return attempt == null ? "" : attempt.upstream().upstream().incarnation();
    }
}
