package io.jayhead.gateway.upstream;

import io.jayhead.routing.placement.Placement;
import io.jayhead.routing.placement.PlacementCandidate;
import io.jayhead.routing.placement.ReportedLoad;
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
    /** A load report is ignored after this time, when it says little about the present load. */
    private static final long REPORT_MAX_AGE_NS = 1_000_000_000L;
    /** The weight of the newest answer in the moving averages of answer time and slowness. */
    private static final double ANSWER_WEIGHT = 0.2;
    /**
     * The half-life of the averages: the answer time decays towards 0 after the last answer to a plain call, the
     * slowness towards 1 after the last stream that sent a first event.
     */
    private static final double ANSWER_HALF_LIFE_NS = 2e9;

    private int inFlight;
    private long pendingTokensToRead;
    private int reportedOtherRequests;
    private long reportedAtNs;
    private double failureRate;
    private long lastFailureNs;
    private double averageAnswerMs;
    private double slowness = 1;
    private long slownessAtNs;
    private long lastAnswerNs;

    PlacementCandidate candidate(Upstream upstream, boolean sameZone, long nowNs) {
        int otherRequests = nowNs - reportedAtNs < REPORT_MAX_AGE_NS ? reportedOtherRequests : 0;
        double decay = Math.pow(0.5, (nowNs - lastAnswerNs) / ANSWER_HALF_LIFE_NS);
        return new PlacementCandidate(
                upstream,
                inFlight,
                otherRequests,
                pendingTokensToRead,
                isSuspect(nowNs),
                sameZone,
                averageAnswerMs * decay,
                slowness(nowNs));
    }

    boolean isSuspect(long nowNs) {
        return failureRate > SUSPECT_RATE && nowNs - lastFailureNs < SUSPECT_NS;
    }

    int inFlight() {
        return inFlight;
    }

    void started(long tokensToRead) {
        inFlight++;
        pendingTokensToRead += tokensToRead;
    }

    void promptRead(long tokensToRead) {
        pendingTokensToRead -= tokensToRead;
    }

    void ended() {
        inFlight--;
    }

    void answered(double answerMs, long nowNs) {
        failureRate *= 1 - FAILURE_WEIGHT;
        averageAnswerMs += ANSWER_WEIGHT * (answerMs - averageAnswerMs);
        lastAnswerNs = nowNs;
    }

    double expectedFirstEventMs() {
        return Placement.expectedFirstEventMs(pendingTokensToRead, inFlight);
    }

    void firstEvent(double measuredMs, double expectedMs, long nowNs) {
        failureRate *= 1 - FAILURE_WEIGHT;
        double ratio = measuredMs / expectedMs;
        slowness = slowness(nowNs) + ANSWER_WEIGHT * (ratio - slowness(nowNs));
        slownessAtNs = nowNs;
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

    void loadReported(ReportedLoad reported, long nowNs) {
        if (reported.requests().isPresent()) {
            reportedOtherRequests = Math.max(0, reported.requests().getAsInt() - inFlight);
            reportedAtNs = nowNs;
        }
    }
}
