package io.jayhead.gateway.upstream;

import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;

/**
 * Writes the log lines and metrics of the connections to upstreams.
 *
 * @param log receives a line for each kind of unsolicited bytes
 * @param metrics counts connections and unsolicited bytes
 */
public record ConnectionRecorder(StructuredLog log, GatewayMetrics metrics) implements ConnectionListener {

    @Override
    public void opened() {
        metrics.connectionOpened();
    }

    @Override
    public void unsolicited(String incarnation, UnsolicitedBytes kind, String requestId) {
        metrics.unsolicitedBytes(kind.name());
        log.write(
                LogKind.ATTEMPT,
                "unsolicited bytes",
                "upstream",
                incarnation,
                "arrived",
                kind,
                "request_id",
                requestId);
    }
}
