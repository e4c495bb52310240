package io.jayhead.gateway.upstream;

import io.jayhead.gateway.upstream.RoomEstimate.UpstreamRoom;
import io.jayhead.routing.placement.ExpectedWork;
import io.jayhead.routing.placement.PlacementCandidate;
import io.jayhead.routing.placement.ReportedLoad;
import io.jayhead.routing.placement.SlowdownForecast;
import io.jayhead.routing.placement.UpstreamReport;
import io.jayhead.routing.placement.UpstreamWork;
import io.jayhead.routing.registry.Upstream;

/**
 * Estimates the load and health of one upstream as this router sees them: from the requests that it sent there, their
 * answers and failures, and the load that the upstream reports. Used by the traffic thread.
 */
final class UpstreamLoad {

    /** The weight of the newest answer in the moving average of failures. */
    private static final double FAILURE_WEIGHT = 0.25;
    /** An upstream is suspect, and therefore avoided, above this failure rate. */
    private static final double SUSPECT_RATE = 0.45;
    /** The time after its last failure for which a suspect upstream is avoided before it is tried again. */
    private static final long SUSPECT_NS = 1_500_000_000L;
    /** The weight of the newest answer in the moving averages of answer time and slowness. */
    private static final double ANSWER_WEIGHT = 0.2;
    /**
     * The half-life of the averages: the answer time decays towards 0 after the last answer to a plain call, the
     * slowness towards 1 after the last stream that sent a first event.
     */
    private static final double ANSWER_HALF_LIFE_NS = 2e9;

    private static final long NS_PER_MS = 1_000_000;

    private final ServiceObservations service;
    private int inFlight;
    private long pendingTokensToRead;
    private long memoryTokens;
    private UpstreamReport report = UpstreamReport.none();
    private SlowdownForecast slowdown = SlowdownForecast.usual();
    private double failureRate;
    private long lastFailureNs;
    private double averageAnswerMs;
    private double slowness = 1;
    private long slownessAtNs;
    private long lastAnswerNs;

    UpstreamLoad(ServiceObservations service) {
        this.service = service;
    }

    PlacementCandidate candidate(Upstream upstream, boolean sameZone, long nowNs) {
        double decay = Math.pow(0.5, (nowNs - lastAnswerNs) / ANSWER_HALF_LIFE_NS);
        double otherRequests = otherRequests(upstream, nowNs);
        UpstreamWork work = new UpstreamWork(
                slots(upstream),
                inFlight,
                otherRequests,
                pendingTokensToRead,
                memoryTokens,
                otherRequests * service.meanMemoryTokens());
        return new PlacementCandidate(
                upstream,
                work,
                isSuspect(nowNs),
                sameZone,
                averageAnswerMs * decay,
                slowness(nowNs),
                slowdown.at(nowNs / NS_PER_MS));
    }

    UpstreamRoom room(Upstream upstream, long nowNs) {
        int slots = slots(upstream);
        int reportedWaiting = report.load().waiting().orElse(0);
        double requests = Math.max(0, report.load().requests().orElse(0) + inFlight - report.ownRequests());
        double running = Math.max(0, Math.min(slots, requests - reportedWaiting));
        return new UpstreamRoom(slots, running, requests - running, report.weight(nowNs / NS_PER_MS));
    }

    boolean isSuspect(long nowNs) {
        return failureRate > SUSPECT_RATE && nowNs - lastFailureNs < SUSPECT_NS;
    }

    int inFlight() {
        return inFlight;
    }

    void started(long tokensToRead, long addedMemoryTokens, long nowNs) {
        inFlight++;
        pendingTokensToRead += tokensToRead;
        memoryTokens += addedMemoryTokens;
        service.started(addedMemoryTokens, nowNs / NS_PER_MS);
    }

    void promptRead(long tokensToRead) {
        pendingTokensToRead -= tokensToRead;
    }

    void ended(long freedMemoryTokens) {
        inFlight--;
        memoryTokens -= freedMemoryTokens;
    }

    void answered(double answerMs, long nowNs) {
        double usualMs = answerMs / reportedSlowdown();
        failureRate *= 1 - FAILURE_WEIGHT;
        averageAnswerMs += ANSWER_WEIGHT * (usualMs - averageAnswerMs);
        lastAnswerNs = nowNs;
        service.plainCallAnswered(usualMs, nowNs / NS_PER_MS);
    }

    void streamEnded(double streamMs, long nowNs) {
        service.streamEnded(streamMs, nowNs / NS_PER_MS);
    }

    ExpectedWork expectedWork(Upstream upstream, long nowNs) {
        boolean countsOthers = service.load().reportsSlowdown();
        double requests = inFlight + (countsOthers ? otherRequests(upstream, nowNs) : 0);
        return new ExpectedWork(
                pendingTokensToRead, requests, service.rates().firstEventMs(pendingTokensToRead, requests));
    }

    void firstEvent(double measuredMs, ExpectedWork work, long nowNs) {
        double usualMs = measuredMs / reportedSlowdown();
        failureRate *= 1 - FAILURE_WEIGHT;
        double ratio = usualMs / work.firstEventMs();
        slowness = slowness(nowNs) + ANSWER_WEIGHT * (ratio - slowness(nowNs));
        slownessAtNs = nowNs;
        service.firstEvent(usualMs, work, nowNs / NS_PER_MS);
    }

    /**
     * Returns the average ratio of the measured to the expected time to the first event. It decays towards 1, the value
     * of an engine of normal speed, while no first events arrive.
     */
    private double slowness(long nowNs) {
        double decay = Math.pow(0.5, (nowNs - slownessAtNs) / ANSWER_HALF_LIFE_NS);
        return 1 + (slowness - 1) * decay;
    }

    /** Records a failure; the severity, from 0 to 1, scales its effect on the failure rate. */
    void failed(double severity, long nowNs) {
        failureRate += FAILURE_WEIGHT * severity * (1 - failureRate);
        lastFailureNs = nowNs;
    }

    void unreachable(long nowNs) {
        failureRate = 1;
        lastFailureNs = nowNs;
    }

    void loadReported(ReportedLoad load, long nowNs) {
        long nowMs = nowNs / NS_PER_MS;
        load.slowdown().ifPresent(reported -> slowdown = slowdown.with(reported, nowMs));
        if (load.requests().isPresent()) {
            report = new UpstreamReport(load, inFlight, nowMs);
            service.loadReported(load, report.otherRequests(), nowMs);
        }
    }

    private double otherRequests(Upstream upstream, long nowNs) {
        return report.otherRequests(service.load(), slots(upstream), nowNs / NS_PER_MS);
    }

    private int slots(Upstream upstream) {
        return report.load().slots().orElse(upstream.slots());
    }

    /** Returns the slowdown that the upstream reported last, with the head of the answer that is being received. */
    private double reportedSlowdown() {
        return report.load().slowdown().orElse(1);
    }
}
