package io.jayhead.gateway.upstream;

import io.jayhead.routing.placement.ExpectedWork;
import io.jayhead.routing.placement.ReportedLoad;
import io.jayhead.routing.placement.ServiceLoad;
import io.jayhead.routing.placement.ServiceRates;

/**
 * Keeps what this router observed of the upstreams of one service together; used by the traffic thread.
 *
 * <p>Rates are learned only where the upstreams report the slowdown of their machines; elsewhere a slow service could
 * not be told from busy machines.
 */
final class ServiceObservations {

    private ServiceRates rates = ServiceRates.defaults();
    private ServiceLoad load = ServiceLoad.unknown();

    ServiceRates rates() {
        return rates;
    }

    ServiceLoad load() {
        return load;
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
