package io.jayhead.gateway.control;

import io.jayhead.gateway.log.DecisionLog;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.metrics.GatewayMetrics;
import java.util.ArrayList;
import java.util.List;

/** Records whether the platform answers; used by the control thread. */
final class PlatformHealth {

    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final Runnable onRecovery;
    private final List<Runnable> awaitingRecovery = new ArrayList<>();
    private boolean unavailable;
    private boolean probing;
    private long unavailableSinceNs;
    private long reachableSinceNs = System.nanoTime();

    PlatformHealth(DecisionLog log, GatewayMetrics metrics, Runnable onRecovery) {
        this.log = log;
        this.metrics = metrics;
        this.onRecovery = onRecovery;
    }

    boolean isUnavailable() {
        return unavailable;
    }

    /**
     * Returns for how long the platform has answered.
     *
     * @return the time since its return or the start of this router, in seconds
     */
    double reachableForS() {
        return unavailable ? 0 : (System.nanoTime() - reachableSinceNs) / 1e9;
    }

    /**
     * Lets a call wait for the platform's return, so that one caller probes it instead of all.
     *
     * @param retry repeats the call
     * @return false if nobody probes the platform; the caller then repeats its call itself
     */
    boolean awaitRecovery(Runnable retry) {
        if (probing) {
            awaitingRecovery.add(retry);
        }
        return probing;
    }

    /** Records that the probing caller fails and goes on to try. */
    void probeFailed() {
        probing = true;
    }

    /** Records that the probing caller was answered; the calls that wait are repeated. */
    void probeSucceeded() {
        probing = false;
        List<Runnable> retries = List.copyOf(awaitingRecovery);
        awaitingRecovery.clear();
        retries.forEach(Runnable::run);
    }

    void succeeded(String call) {
        metrics.platformCall(call, "ok");
        if (!unavailable) {
            return;
        }
        unavailable = false;
        reachableSinceNs = System.nanoTime();
        long unavailableMs = (System.nanoTime() - unavailableSinceNs) / 1_000_000;
        log.write(LogKind.DEPENDENCY, "platform regained", "call", call, "away_ms", unavailableMs);
        onRecovery.run();
    }

    void failed(String call, Throwable failure) {
        PlatformFault fault = PlatformException.faultOf(failure);
        metrics.platformCall(call, fault.name());
        if (!fault.isOutage()) {
            log.write(LogKind.STATE, "platform call failed", "call", call, "fault", fault, "detail", failure);
            return;
        }
        if (!unavailable) {
            unavailable = true;
            unavailableSinceNs = System.nanoTime();
            log.write(LogKind.DEPENDENCY, "platform lost", "call", call, "fault", fault, "detail", failure);
        }
    }
}
