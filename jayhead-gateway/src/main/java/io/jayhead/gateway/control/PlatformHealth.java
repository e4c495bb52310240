package io.jayhead.gateway.control;

import io.jayhead.gateway.log.DecisionLog;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.metrics.GatewayMetrics;

/** Records whether the platform answers; used by the control thread. */
final class PlatformHealth {

    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final Runnable onReturn;
    private boolean away;
    private long awaySinceNs;

    PlatformHealth(DecisionLog log, GatewayMetrics metrics, Runnable onReturn) {
        this.log = log;
        this.metrics = metrics;
        this.onReturn = onReturn;
    }

    boolean isAway() {
        return away;
    }

    void succeeded(String call) {
        metrics.platformCall(call, "ok");
        if (!away) {
            return;
        }
        away = false;
        long awayMs = (System.nanoTime() - awaySinceNs) / 1_000_000;
        log.write(LogKind.DEPENDENCY, "platform regained", "call", call, "away_ms", awayMs);
        onReturn.run();
    }

    void failed(String call, Throwable failure) {
        PlatformFault fault = PlatformException.faultOf(failure);
        metrics.platformCall(call, fault.name());
        if (!fault.isOutage()) {
            log.write(LogKind.STATE, "platform call failed", "call", call, "fault", fault, "detail", failure);
            return;
        }
        if (!away) {
            away = true;
            awaySinceNs = System.nanoTime();
            log.write(LogKind.DEPENDENCY, "platform lost", "call", call, "fault", fault, "detail", failure);
        }
    }
}
