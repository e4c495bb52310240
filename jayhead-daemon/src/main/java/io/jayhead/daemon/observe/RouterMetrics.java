package io.jayhead.daemon.observe;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.RequestKind;
import io.jayhead.model.Verdict;
import io.jayhead.peer.PeerTrafficListener;
import io.jayhead.peer.pb.Frame;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/** Collects the metrics of a router and writes them in the Prometheus text format. */
public final class RouterMetrics implements PeerTrafficListener {

    private static final double MS_PER_SECOND = 1_000;

    /** Includes 0.88 s, the target for the first token; the bounds between tokens include their target of 54 ms. */
    private static final double[] FIRST_TOKEN_SECONDS = {0.05, 0.1, 0.2, 0.4, 0.6, 0.88, 1.5, 3, 6, 15, 30};

    private static final double[] BETWEEN_TOKENS_SECONDS = {0.005, 0.01, 0.02, 0.035, 0.054, 0.1, 0.25, 1, 5};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("jayhead_requests_total")
            .help("Requests by kind, code and verdict")
            .labelNames("kind", "code", "verdict")
            .register(registry);
    private final Counter falseRefusals = Counter.builder()
            .name("jayhead_false_refusals_total")
            .help("Requests refused as budget_exhausted while the ledger had the tokens")
            .labelNames("kind")
            .register(registry);
    private final Histogram queueSeconds = Histogram.builder()
            .name("jayhead_queue_seconds")
            .help("Time from arrival to admission")
            .labelNames("kind")
            .classicOnly()
            .register(registry);
    private final Histogram firstTokenSeconds = Histogram.builder()
            .name("jayhead_first_token_seconds")
            .help("Time from arrival to the first token")
            .labelNames("kind")
            .classicUpperBounds(FIRST_TOKEN_SECONDS)
            .register(registry);
    private final Histogram betweenTokensSeconds = Histogram.builder()
            .name("jayhead_between_tokens_seconds")
            .help("Time between two tokens")
            .labelNames("kind")
            .classicUpperBounds(BETWEEN_TOKENS_SECONDS)
            .register(registry);
    private final Counter peerMessages = Counter.builder()
            .name("jayhead_peer_messages_total")
            .help("Messages exchanged with other routers")
            .labelNames("peer", "direction", "type")
            .register(registry);
    private final Counter peerBytes = Counter.builder()
            .name("jayhead_peer_bytes_total")
            .help("Bytes exchanged with other routers")
            .labelNames("peer", "direction", "type")
            .register(registry);

    /**
     * Registers a gauge whose value is read each time the metrics are written.
     *
     * @param name the metric name
     * @param help the help text
     * @param value supplies the current value
     */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Counts a request that was answered.
     *
     * @param kind the kind of the request
     * @param code the error code in lower case, or a code such as {@code ok} if the answer is no error
     * @param verdict tells whether the request ran
     */
    public void countRequest(RequestKind kind, String code, Verdict verdict) {
        requests.labelValues(kind.configName(), code, verdict.code()).inc();
    }

    /**
     * Counts a request that was refused before dispatch.
     *
     * @param kind the kind; empty if the request was refused while it was read, for example because its key is unknown
     *     or its body is invalid
     * @param code the error code
     */
    public void countRefusal(Optional<RequestKind> kind, ErrorCode code) {
        requests.labelValues(kind.map(RequestKind::configName).orElse("unknown"), code.code(), "not_run")
                .inc();
    }

    /**
     * Counts a request that was refused although its budget could have paid for it.
     *
     * @param kind the kind of the request
     */
    public void countFalseRefusal(RequestKind kind) {
        falseRefusals.labelValues(kind.configName()).inc();
    }

    /**
     * Records the time from arrival to admission.
     *
     * @param kind the kind of the request
     * @param durationMs the time in milliseconds
     */
    public void recordQueueTime(RequestKind kind, long durationMs) {
        queueSeconds.labelValues(kind.configName()).observe(durationMs / MS_PER_SECOND);
    }

    /**
     * Records the time from arrival to the first token.
     *
     * @param kind the kind of the request
     * @param durationMs the time in milliseconds
     */
    public void recordFirstToken(RequestKind kind, long durationMs) {
        firstTokenSeconds.labelValues(kind.configName()).observe(durationMs / MS_PER_SECOND);
    }

    /**
     * Records the time between two tokens.
     *
     * @param kind the kind of the request
     * @param durationMs the time in milliseconds
     */
    public void recordBetweenTokens(RequestKind kind, long durationMs) {
        betweenTokensSeconds.labelValues(kind.configName()).observe(durationMs / MS_PER_SECOND);
    }

    @Override
    public void sent(String peer, Frame frame) {
        count(peer, "sent", frame);
    }

    @Override
    public void received(String peer, Frame frame) {
        count(peer, "received", frame);
    }

    /**
     * Returns the current values of all metrics.
     *
     * @return the Prometheus text format in UTF-8
     */
    public byte[] expose() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private void count(String peer, String direction, Frame frame) {
        String type = frame.getBodyCase().name().toLowerCase(Locale.ROOT);
        peerMessages.labelValues(peer, direction, type).inc();
        peerBytes.labelValues(peer, direction, type).inc(frame.getSerializedSize());
    }
}
