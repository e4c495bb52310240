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
    private final Runnable onReturn;
    private final List<Runnable> awaitingReturn = new ArrayList<>();
    private boolean away;
    private boolean probing;
    private long awaySinceNs;
    private long inTouchSinceNs = System.nanoTime();

    PlatformHealth(DecisionLog log, GatewayMetrics metrics, Runnable onReturn) {
        this.log = log;
        this.metrics = metrics;
        this.onReturn = onReturn;
    }

    boolean isAway() {
        return away;
    }

    /**
     * Returns for how long the platform has answered.
     *
     * @return the time since its return or the start of this router, in seconds
     */
    double inTouchS() {
        return away ? 0 : (System.nanoTime() - inTouchSinceNs) / 1e9;
    }

    /**
     * Lets a call wait for the platform's return, so that one caller probes it instead of all.
     *
     * @param repeat repeats the call
     * @return false if nobody probes the platform; the caller then repeats its call itself
     */
    boolean awaitReturn(Runnable repeat) {
        if (probing) {
            awaitingReturn.add(repeat);
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
        List<Runnable> repeated = List.copyOf(awaitingReturn);
        awaitingReturn.clear();
        repeated.forEach(Runnable::run);
    }

    void succeeded(String call) {
        metrics.platformCall(call, "ok");
        if (!away) {
            return;
        }
        away = false;
        inTouchSinceNs = System.nanoTime();
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
