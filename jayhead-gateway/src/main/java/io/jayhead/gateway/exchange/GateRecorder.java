package io.jayhead.gateway.exchange;

import io.jayhead.admission.room.RoomRequest;
import io.jayhead.admission.room.RoomVerdict;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;

/** Writes the log lines and metrics of requests that wait or are turned away because their service has no room. */
final class GateRecorder {

    private static final String WAITS = "waits for room";

    private final StructuredLog log;
    private final GatewayMetrics metrics;

    GateRecorder(StructuredLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    void waits(RoomRequest request, String requestId) {
        metrics.roomDecision(request.route(), "WAITS", "NO_ROOM");
        log.write(
                LogKind.ADMISSION,
                WAITS,
                "request_id",
                requestId,
                "route",
                request.route(),
                "rank",
                request.rank(),
                "work",
                (long) request.work(),
                "expires_in_ms",
                request.expiresAtMs() - request.arrivedAtMs());
    }

    /** Records a decision, unless it admits a request at its arrival. */
    void decided(RoomVerdict verdict, String requestId, long nowMs) {
        RoomRequest request = verdict.request();
        long waitedMs = nowMs - request.arrivedAtMs();
        if (verdict.isAdmitted() && waitedMs == 0) {
            return;
        }
        metrics.roomDecision(
                request.route(), verdict.decision().name(), verdict.reason().name());
        log.write(
                LogKind.ADMISSION,
                verdict.decision().event(),
                "request_id",
                requestId,
                "route",
                request.route(),
                "organisation",
                request.organisation(),
                "reason",
                verdict.reason(),
                "rank",
                request.rank(),
                "counted_rank",
                verdict.rank(),
                "slack_ms",
                verdict.slackMs(),
                "work",
                (long) request.work(),
                "waited_ms",
                waitedMs,
                "room_in_ms",
                verdict.roomInMs());
    }
}
