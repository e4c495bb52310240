package io.jayhead.standins.engine;

import com.google.common.flogger.FluentLogger;
import io.jayhead.standins.fault.FaultKind;
import io.jayhead.standins.http.Exchange;
import io.jayhead.standins.http.Json;
import io.jayhead.standins.http.Request;
import io.jayhead.standins.http.Response;
import io.jayhead.standins.http.Standin;
import io.jayhead.standins.http.StandinContext;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Simulates a model engine: token streams, resume, cancellation, fencing, load reports and cache events. */
public final class EngineStandin implements Standin {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int DEFAULT_PRIORITY = 5;
    private static final long MIN_SAMPLE_MS = 10;
    private static final long SAMPLES_PER_LAG = 10;

    private final EngineOptions options;
    private final StandinContext context;
    private final RunRecords records;
    private final FenceRegistry fences = new FenceRegistry();
    private final CacheEventLog cacheEvents;
    private final LoadHistory loads;
    private final Batch batch;
    private long arrivals;

    /**
     * Creates an idle engine.
     *
     * @param options the identity, speed and limits of the engine
     * @param context the control thread and the active faults
     */
    public EngineStandin(EngineOptions options, StandinContext context) {
        this.options = options;
        this.context = context;
        records = new RunRecords(options.maxRecords());
        cacheEvents = new CacheEventLog(options.cacheLagMs());
        loads = new LoadHistory(options.loadLagMs());
        batch = new Batch(options, context, cacheEvents);
        context.control().execute(this::sampleLoad);
    }

    @Override
    public Set<FaultKind> faults() {
        return FaultKind.commonAnd(FaultKind.DRAINING, FaultKind.CACHE_GAP);
    }

    @Override
    public void handle(Request request, Exchange exchange) {
        if (request.matches("POST", 2, "v1", "generate")) {
            generate(request, exchange);
        } else if (request.matches("GET", 4, "v1", "requests")
                && request.segments().get(3).equals("stream")) {
            resume(request, exchange);
        } else if (request.matches("GET", 3, "v1", "requests")) {
            findOrRespondNotFound(request, exchange)
                    .ifPresent(run -> exchange.respond(Response.json(200, status(run))));
        } else if (request.matches("DELETE", 3, "v1", "requests")) {
            cancel(request, exchange);
        } else if (request.matches("GET", 2, "v1", "load")) {
            exchange.respond(Response.json(200, load()));
        } else if (request.matches("GET", 3, "v1", "cache", "events")) {
            exchange.respond(Response.json(200, cacheEvents.since(request.number("since", 0), context.nowMs())));
        } else if (request.matches("POST", 2, "v1", "fence")) {
            fence(Json.read(request.body(), Fence.class), exchange);
        } else if (request.matches("GET", 1, "executions")) {
            exchange.respond(Response.json(200, new Executions(batch.executions())));
        } else if (request.matches("GET", 2, "v1", "totals")) {
            exchange.respond(Response.json(200, batch.totals()));
        } else {
            exchange.respond(Response.error(404, "not_found"));
        }
    }

    private void generate(Request request, Exchange exchange) {
        String id = request.header("x-request-id")
                .filter(value -> !value.isBlank())
                .orElseThrow(() -> new IllegalArgumentException("X-Request-Id is required"));
        GenerateBody body = Json.read(request.body(), GenerateBody.class);
        Optional<Run> existing = records.find(id);
        if (existing.isPresent()) {
            join(existing.get(), body, exchange);
            return;
        }
        Optional<Response> refusal = refusal(request, body);
        if (refusal.isPresent()) {
            exchange.respond(refusal.get());
            return;
        }
        int priority = (int) request.headerNumber("x-priority", DEFAULT_PRIORITY);
        Run run = new Run(id, Fence.of(request), priority, arrivals++, body);
        records.add(run);
        LOG.atFine().log("%s accepts %s at priority %d", options.name(), id, priority);
        stream(run, 0, exchange);
        batch.add(run);
    }

    /**
     * Streams an existing run of the same request id. Skips the refusal checks, because a refusal would state that the
     * request did not run.
     */
    private void join(Run run, GenerateBody body, Exchange exchange) {
        if (!run.body().equals(body)) {
            exchange.respond(Response.error(422, "request_id_reused"));
            return;
        }
        stream(run, 0, exchange);
    }

    private Optional<Response> refusal(Request request, GenerateBody body) {
        if (!options.serves(body.model())) {
            return Optional.of(Response.error(400, "unknown_model"));
        }
        if (isFenced(request)) {
            return Optional.of(Response.error(409, "fenced"));
        }
        if (isDraining()) {
            return Optional.of(Response.error(503, "draining"));
        }
        return batch.isFull() ? Optional.of(Response.error(503, "overloaded")) : Optional.empty();
    }

    private boolean isFenced(Request request) {
        Fence fence = Fence.of(request);
        return options.checksFencing() && fence.hasHolder() && !fences.accept(fence);
    }

    private void resume(Request request, Exchange exchange) {
        long from = request.number("from", 0);
        if (from < 0 || from > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("from must be a token index: " + from);
        }
        findOrRespondNotFound(request, exchange).ifPresent(run -> stream(run, (int) from, exchange));
    }

    private void stream(Run run, int firstIndex, Exchange exchange) {
        StreamSubscriber subscriber = new StreamSubscriber(exchange, firstIndex);
        exchange.startEventStream();
        exchange.onClose(() -> run.unsubscribe(subscriber));
        run.subscribe(subscriber);
    }

    private void cancel(Request request, Exchange exchange) {
        findOrRespondNotFound(request, exchange).ifPresent(run -> {
            batch.cancel(run);
            exchange.respond(Response.json(200, status(run)));
        });
    }

    private Optional<Run> findOrRespondNotFound(Request request, Exchange exchange) {
        Optional<Run> run = records.find(request.segments().get(2));
        if (run.isEmpty()) {
            exchange.respond(Response.error(404, "not_found"));
        }
        return run;
    }

    /**
     * Raises a holder's fencing token, cancels its requests with lower tokens and lists its ended requests. An engine
     * that ignores fencing tokens cancels nothing.
     */
    private void fence(Fence fence, Exchange exchange) {
        if (!fence.hasHolder()) {
            throw new IllegalArgumentException("holder is required");
        }
        if (options.checksFencing()) {
            if (!fences.accept(fence)) {
                exchange.respond(Response.error(409, "fenced"));
                return;
            }
            // Compares the token of each run, because a newer request may have raised the highest token already.
            int cancelled = batch.cancelOlderThan(fence);
            fences.addEnded(fence.holder(), records.endedRuns(fence.holder()));
            LOG.atInfo().log(
                    "%s fences %s at %d, cancelled %d", options.name(), fence.holder(), fence.number(), cancelled);
        }
        exchange.respond(
                Response.json(200, new Fenced(fences.cancelled(fence.holder()), fences.finished(fence.holder()))));
    }

    private LoadReport load() {
        if (options.loadLagMs() == 0) {
            loads.add(currentLoad());
        }
        long nowMs = context.nowMs();
        LoadSample sample = loads.visible(nowMs);
        return new LoadReport(
                sample.queued(),
                sample.running(),
                options.maxBatch(),
                loads.tokensPerSecond(sample),
                sample.draining(),
                nowMs - sample.atMs(),
                options.models(),
                options.adapters());
    }

    private void sampleLoad() {
        loads.add(currentLoad());
        context.after(Math.max(MIN_SAMPLE_MS, options.loadLagMs() / SAMPLES_PER_LAG), this::sampleLoad);
    }

    private LoadSample currentLoad() {
        return new LoadSample(
                context.nowMs(), batch.queued(), batch.running(), batch.totals().outputTokens(), isDraining());
    }

    private boolean isDraining() {
        return context.faults().isActive(FaultKind.DRAINING, "");
    }

    private static Status status(Run run) {
        return new Status(run.state().text(), run.promptTokens(), run.producedTokens());
    }

    private record Status(String state, int promptTokens, int outputTokens) {}

    private record Fenced(List<RunUsage> cancelled, List<RunUsage> finished) {}

    private record Executions(Map<String, Integer> executions) {}
}
