package io.jayhead.gateway.control;

import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongConsumer;

/**
 * Tracks whether the platform answers and lets calls wait for its recovery; used by the control thread.
 *
 * <p>The platform counts as unavailable once it refuses a call, or once calls have had no answer for a while, the last
 * one on a new connection or for want of one. Connections may fail alone or several at once, but then the repetition of
 * the first failed call is answered.
 */
final class PlatformHealth {

    /** Longer than the first repetition of a failed call takes, its pause included. */
    private static final long REPETITION_NS = 250_000_000;

    private final StructuredLog log;
    private final GatewayMetrics metrics;
    private final LongConsumer onRecovery;
    private final List<Runnable> awaitingRecovery = new ArrayList<>();
    private boolean unavailable;
    private boolean probing;
    private long unavailableSinceNs;
    private long reachableSinceNs = System.nanoTime();
    private long answeredAtNs = System.nanoTime();
    /** When the first call without an answer failed since the last one that was answered, watches included. */
    private OptionalLong unansweredSinceNs = OptionalLong.empty();

    /**
     * Creates an instance for a platform that is available.
     *
     * @param log receives losses and recoveries
     * @param metrics counts the calls
     * @param onRecovery receives, when the platform answers again after an outage, the milliseconds since it last
     *     showed that it is alive, which the outage did not exceed
     */
    PlatformHealth(StructuredLog log, GatewayMetrics metrics, LongConsumer onRecovery) {
        this.log = log;
        this.metrics = metrics;
        this.onRecovery = onRecovery;
    }

    boolean isUnavailable() {
        return unavailable;
    }

    /** Tells whether a caller probes the platform until it answers. */
    boolean isProbing() {
        return probing;
    }

    /** Returns the nanoseconds since the platform last answered a call, or said that it gets too many. */
    long quietNs() {
        return System.nanoTime() - answeredAtNs;
    }

    /**
     * Returns for how long the platform has been reachable.
     *
     * @return the seconds since it recovered or this router started; 0 in an outage
     */
    double reachableForS() {
        return unavailable ? 0 : (System.nanoTime() - reachableSinceNs) / 1e9;
    }

    /**
     * Queues a call until the platform has recovered, so that only one caller probes the platform in an outage. Once
     * the platform counts as unavailable, {@link LivenessProbe} does.
     *
     * @param retry repeats the call
     * @return true if the call is queued; false if nobody probes the platform, so that this caller must retry by itself
     */
    boolean awaitRecovery(Runnable retry) {
        boolean isProbed = probing || unavailable;
        if (isProbed) {
            awaitingRecovery.add(retry);
        }
        return isProbed;
    }

    /** Records that the probe failed and will be repeated. */
    void probeFailed() {
        probing = true;
    }

    /** Records that a caller need not probe any more, and repeats the queued calls. */
    void probeSucceeded() {
        probing = false;
        List<Runnable> retries = List.copyOf(awaitingRecovery);
        awaitingRecovery.clear();
        retries.forEach(Runnable::run);
    }

    void succeeded(String call) {
        metrics.platformCall(call, "ok");
        long quietMs = quietNs() / 1_000_000;
        answeredAtNs = System.nanoTime();
        unansweredSinceNs = OptionalLong.empty();
        if (!unavailable) {
            return;
        }
        unavailable = false;
        reachableSinceNs = System.nanoTime();
        long unavailableMs = (System.nanoTime() - unavailableSinceNs) / 1_000_000;
        log.write(
                LogKind.DEPENDENCY,
                "platform regained",
                "call",
                call,
                "away_ms",
                unavailableMs,
                "unanswered_ms",
                quietMs);
        onRecovery.accept(quietMs);
        probeSucceeded();
    }

    /** Records that a watch ended without an answer or with a refusal, which alone is no sign of an outage. */
    void watchFailed(String call, Throwable failure) {
        PlatformFault fault = PlatformException.faultOf(failure);
        metrics.platformCall(call, fault.name());
        record(fault);
        log.write(LogKind.STATE, "watch failed", "call", call, "fault", fault, "detail", failure);
    }

    /**
     * Records that a call other than a watch failed. If the platform has answered a call that was sent later, this one
     * shows no outage.
     *
     * @param call the call, for log lines and metrics
     * @param failure why it failed
     * @param sentAtNs the time of {@link System#nanoTime()} at which it was sent
     */
    void failed(String call, Throwable failure, long sentAtNs) {
        if (answeredAtNs - sentAtNs <= 0) {
            failed(call, failure);
            return;
        }
        PlatformFault fault = PlatformException.faultOf(failure);
        metrics.platformCall(call, fault.name());
        log.write(LogKind.STATE, "platform call failed", "call", call, "fault", fault, "detail", failure);
    }

    /** Records that a call other than a watch failed. */
    void failed(String call, Throwable failure) {
        PlatformFault fault = PlatformException.faultOf(failure);
        metrics.platformCall(call, fault.name());
        record(fault);
        if (!showsOutage(fault)) {
            log.write(LogKind.STATE, "platform call failed", "call", call, "fault", fault, "detail", failure);
            return;
        }
        if (!unavailable) {
            unavailable = true;
            unavailableSinceNs = System.nanoTime();
            log.write(LogKind.DEPENDENCY, "platform lost", "call", call, "fault", fault, "detail", failure);
        }
    }

    private void record(PlatformFault fault) {
        if (fault == PlatformFault.THROTTLED) {
            answeredAtNs = System.nanoTime();
        }
        if (fault.mayBeOutage() && unansweredSinceNs.isEmpty()) {
            unansweredSinceNs = OptionalLong.of(System.nanoTime());
        }
    }

    private boolean showsOutage(PlatformFault fault) {
        if (unavailable || !fault.mayBeOfOneConnection()) {
            return fault.isOutage();
        }
        return System.nanoTime() - unansweredSinceNs.orElseThrow() >= REPETITION_NS;
    }
}
