package io.jayhead.gateway.metrics;

import io.jayhead.admission.overload.ServiceRoom;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Collects the metrics of a router. */
public final class GatewayMetrics {

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter answers = Counter.builder()
            .name("jayhead_answers_total")
            .help("Answers to callers by route and outcome")
            .labelNames("route", "outcome")
            .register(registry);
    private final Histogram firstByteSeconds = Histogram.builder()
            .name("jayhead_first_byte_seconds")
            .help("Time from the arrival of a request to the first byte of its answer")
            .labelNames("route")
            .classicOnly()
            .classicUpperBounds(0.05, 0.1, 0.2, 0.5, 1, 2, 5)
            .register(registry);
    private final Counter platformCalls = Counter.builder()
            .name("jayhead_platform_calls_total")
            .help("Calls to the platform by kind and result")
            .labelNames("call", "result")
            .register(registry);
    private final Gauge platformEra = Gauge.builder()
            .name("jayhead_platform_era")
            .help("Era of the platform after its last return from an older copy; 0 if there was none since the start")
            .register(registry);
    private final Gauge evacuatedZones = Gauge.builder()
            .name("jayhead_evacuated_zones")
            .help("Availability zones whose upstreams get no new requests")
            .register(registry);
    private final Counter excludedUpstreams = Counter.builder()
            .name("jayhead_excluded_upstreams_total")
            .help("Times that ready upstreams were no candidates for an attempt, by reason")
            .labelNames("reason")
            .register(registry);
    private final Counter leftUpstreams = Counter.builder()
            .name("jayhead_left_upstreams_total")
            .help("Incarnations of upstreams that have said with an answer that they leave")
            .register(registry);
    private final Counter warmUpRequests = Counter.builder()
            .name("jayhead_warm_up_requests_total")
            .help("Requests sent to upstreams that warm up and take only few requests a second")
            .register(registry);
    private final Counter connections = Counter.builder()
            .name("jayhead_upstream_connections_total")
            .help("Connections opened to upstreams")
            .register(registry);
    private final Counter unsolicited = Counter.builder()
            .name("jayhead_unsolicited_upstream_bytes_total")
            .help("Bytes of upstreams outside the answer to an open request, by when they arrived")
            .labelNames("arrived")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("jayhead_failed_attempts_total")
            .help("Attempts that brought no answer, by outcome")
            .labelNames("outcome")
            .register(registry);
    private final Counter roomDecisions = Counter.builder()
            .name("jayhead_room_decisions_total")
            .help("Requests that waited or were turned away for want of room, by route, decision and reason")
            .labelNames("route", "decision", "reason")
            .register(registry);
    private final Counter callersShed = Counter.builder()
            .name("jayhead_callers_shed_total")
            .help("Connections given up by what was scarce and by what they waited for")
            .labelNames("scarce", "phase")
            .register(registry);
    private final Counter suspendedStreams = Counter.builder()
            .name("jayhead_suspended_streams_total")
            .help("Streams that gave up their place at an upstream because their caller did not read")
            .register(registry);
    private final Gauge budgetTokens = Gauge.builder()
            .name("jayhead_budget_tokens")
            .help("Tokens of budgets at this router, by organisation and state")
            .labelNames("organisation", "state")
            .register(registry);
    private final Gauge serviceSlots = Gauge.builder()
            .name("jayhead_service_slots")
            .help("Requests that the ready upstreams of a service process at the same time, as they report")
            .labelNames("service")
            .register(registry);
    private final Gauge serviceRequests = Gauge.builder()
            .name("jayhead_service_requests")
            .help("Requests of all routers at the upstreams of a service, estimated from reports, by state")
            .labelNames("service", "state")
            .register(registry);
    private final Gauge servicePromptTokensPerMs = Gauge.builder()
            .name("jayhead_service_prompt_tokens_per_ms")
            .help("Prompt tokens that an upstream of a service reads in a millisecond, learned from its answers")
            .labelNames("service")
            .register(registry);
    private final Counter loans = Counter.builder()
            .name("jayhead_budget_loans_total")
            .help("Requests for tokens of other routers, by result")
            .labelNames("result")
            .register(registry);
    private final Gauge droppedLines = Gauge.builder()
            .name("jayhead_log_lines_dropped")
            .help("Log lines that were not written")
            .register(registry);

    /**
     * Counts an answer to a caller.
     *
     * @param route the name of the route; {@code none} if the request was not admitted
     * @param outcome the outcome of the request
     */
    public void answered(String route, String outcome) {
        answers.labelValues(route, outcome).inc();
    }

    /**
     * Records the time to the first byte of an answer.
     *
     * @param route the name of the route
     * @param seconds the time since the arrival of the request
     */
    public void firstByte(String route, double seconds) {
        firstByteSeconds.labelValues(route).observe(seconds);
    }

    /**
     * Counts a call to the platform.
     *
     * @param call the kind of call
     * @param result {@code ok}, or the fault of a failed call
     */
    public void platformCall(String call, String result) {
        platformCalls.labelValues(call, result).inc();
    }

    /**
     * Records that the platform has come back from an older copy.
     *
     * @param era the new era of the platform
     */
    public void platformRestored(long era) {
        platformEra.set(era);
    }

    /**
     * Records the evacuations in force.
     *
     * @param zones the number of evacuated availability zones
     */
    public void evacuatedZones(int zones) {
        evacuatedZones.set(zones);
    }

    /**
     * Counts ready upstreams that were no candidates for an attempt.
     *
     * @param reason why they were excluded
     * @param upstreams the number of upstreams
     */
    public void excludedUpstreams(String reason, int upstreams) {
        excludedUpstreams.labelValues(reason).inc(upstreams);
    }

    /** Counts an incarnation of an upstream that has said with an answer that it leaves. */
    public void upstreamLeft() {
        leftUpstreams.inc();
    }

    /** Counts a request that is sent to an upstream that warms up. */
    public void warmUpRequest() {
        warmUpRequests.inc();
    }

    /** Counts a connection that is opened to an upstream. */
    public void connectionOpened() {
        connections.inc();
    }

    /**
     * Counts bytes of an upstream that do not belong to the answer to an open request.
     *
     * @param arrived when they arrived
     */
    public void unsolicitedBytes(String arrived) {
        unsolicited.labelValues(arrived).inc();
    }

    /**
     * Counts an attempt that was not sent, was rejected, failed, or got no complete answer.
     *
     * @param outcome the outcome of the attempt
     */
    public void attemptFailed(String outcome) {
        attempts.labelValues(outcome).inc();
    }

    /**
     * Counts a decision on a request for which there was no room at its arrival.
     *
     * @param route the name of the route
     * @param decision the decision
     * @param reason its reason
     */
    public void roomDecision(String route, String decision, String reason) {
        roomDecisions.labelValues(route, decision, reason).inc();
    }

    /**
     * Counts a connection that was given up for what it holds.
     *
     * @param scarce what the process was short of
     * @param phase what the connection waited for
     */
    public void callerShed(String scarce, String phase) {
        callersShed.labelValues(scarce, phase).inc();
    }

    /**
     * Records the state of a budget.
     *
     * @param organisation the organisation
     * @param freeTokens the tokens that new requests may reserve at this router
     * @param consumedTokens the tokens that requests have consumed at this router
     */
    public void budget(String organisation, long freeTokens, long consumedTokens) {
        budgetTokens.labelValues(organisation, "free").set(freeTokens);
        budgetTokens.labelValues(organisation, "consumed").set(consumedTokens);
    }

    /**
     * Records the load and speed of a service.
     *
     * @param service the name of the service
     * @param room the places of its upstreams
     * @param promptTokensPerMs the prompt tokens that one upstream reads in a millisecond
     */
    public void serviceLoad(String service, ServiceRoom room, double promptTokensPerMs) {
        serviceSlots.labelValues(service).set(room.slots());
        serviceRequests.labelValues(service, "running").set(room.running());
        serviceRequests.labelValues(service, "waiting").set(room.waiting());
        servicePromptTokensPerMs.labelValues(service).set(promptTokensPerMs);
    }

    /** Counts a stream that gave up its place at an upstream because its caller did not read. */
    public void streamSuspended() {
        suspendedStreams.inc();
    }

    /**
     * Counts a request for tokens of other routers.
     *
     * @param result whether they lent enough
     */
    public void loanEnded(String result) {
        loans.labelValues(result).inc();
    }

    /**
     * Writes all metrics in the Prometheus text format.
     *
     * @param droppedLogLines the number of log lines dropped since the start
     * @return the text in UTF-8
     */
    public byte[] text(long droppedLogLines) {
        droppedLines.set(droppedLogLines);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(false).write(bytes, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return bytes.toByteArray();
    }
}
