package io.jayhead.gateway.upstream;

import io.jayhead.routing.DecayedMean;
import io.jayhead.routing.placement.ExpectedWork;
import io.jayhead.routing.placement.PartHolders;
import io.jayhead.routing.placement.ReportedLoad;
import io.jayhead.routing.placement.ServiceLoad;
import io.jayhead.routing.placement.ServiceRates;
import java.util.Set;

/**
 * Keeps what this router observed of all upstreams of one service; used by the traffic thread.
 *
 * <p>Rates are learned only where the upstreams report the slowdown of their machines; elsewhere a slow service could
 * not be distinguished from busy machines.
 */
final class ServiceObservations {

    private static final long MEMORY_HALF_LIFE_MS = 10_000;

    private ServiceRates rates = ServiceRates.defaults();
    private ServiceLoad load = ServiceLoad.unknown();
    private DecayedMean memoryTokens = DecayedMean.empty();
    private final PartHolders partHolders = new PartHolders();

    ServiceRates rates() {
        return rates;
    }

    ServiceLoad load() {
        return load;
    }

    Set<String> partHolders(String affinityKey, long nowMs) {
        return load.reportsSlowdown() ? partHolders.holders(affinityKey, nowMs) : Set.of();
    }

    void partSent(String affinityKey, String incarnation, long nowMs) {
        if (load.reportsSlowdown()) {
            partHolders.sent(affinityKey, incarnation, nowMs);
        }
    }

    void started(long requestMemoryTokens, long nowMs) {
        memoryTokens = memoryTokens.with(requestMemoryTokens, nowMs, MEMORY_HALF_LIFE_MS);
    }

    /** Returns the mean tokens that a request of this router takes at most in the memory of an upstream. */
    double meanMemoryTokens() {
        return memoryTokens.mean();
    }

    void loadReported(ReportedLoad report, int otherRequests, long nowMs) {
        load = load.with(report, otherRequests, nowMs);
    }

    void firstEvent(double measuredMs, ExpectedWork work, long nowMs) {
        if (load.reportsSlowdown()) {
            rates = rates.withFirstEvent(measuredMs, work, nowMs);
        }
    }

    void plainCallAnswered(double measuredMs, long nowMs) {
        if (load.reportsSlowdown()) {
            rates = rates.withPlainCall(measuredMs, nowMs);
        }
    }

    void streamEnded(double measuredMs, long nowMs) {
        if (load.reportsSlowdown()) {
            rates = rates.withStream(measuredMs, nowMs);
        }
    }
}
