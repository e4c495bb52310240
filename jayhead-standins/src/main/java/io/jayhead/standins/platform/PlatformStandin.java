package io.jayhead.standins.platform;

import io.jayhead.standins.fault.FaultKind;
import io.jayhead.standins.http.Exchange;
import io.jayhead.standins.http.Json;
import io.jayhead.standins.http.Request;
import io.jayhead.standins.http.Response;
import io.jayhead.standins.http.Standin;
import io.jayhead.standins.http.StandinContext;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Simulates the platform: its object API, its VM list and counters of the calls. */
public final class PlatformStandin implements Standin {

    private static final int MAX_VALUE_BYTES = 1_000_000;
    private static final long DEFAULT_LIST_LIMIT = 1000;
    private static final long MAX_WAIT_MS = 60_000;

    private final StandinContext context;
    private final ObjectStore store;
    private final VmList vms;
    private final RateLimit writes;
    private final RateLimit reads;
    private final CallCounter counter = new CallCounter();
    private final List<Watch> watches = new ArrayList<>();

    /**
     * Creates an empty platform.
     *
     * @param options the rate limits, the VM list lag and the history size
     * @param context the control thread and the active faults
     */
    public PlatformStandin(PlatformOptions options, StandinContext context) {
        this.context = context;
        store = new ObjectStore(options.historyEntries());
        vms = new VmList(options.vmLagMs());
        writes = new RateLimit(options.writesPerSecond(), context.nowMs());
        reads = new RateLimit(options.readsPerSecond(), context.nowMs());
    }

    @Override
    public Set<FaultKind> faults() {
        return FaultKind.commonAnd();
    }

    @Override
    public void handle(Request request, Exchange exchange) {
        if (request.matches("GET", 1, "counters")) {
            exchange.respond(Response.json(200, new Counters(store.revision(), watches.size(), counter.all())));
        } else if (request.matches("GET", 2, "v1", "vms")) {
            withRateLimit("GET", "vms", reads, exchange, () -> listVms(exchange));
        } else if (request.matches("PUT", 3, "v1", "vms")) {
            putVm(request, exchange);
        } else if (request.matches("DELETE", 3, "v1", "vms")) {
            boolean removed = vms.remove(request.segments().get(2), context.nowMs());
            exchange.respond(new Response(removed ? 200 : 404, "application/json", Map.of(), "{}"));
        } else if (request.matches("GET", 3, "v1", "objects")) {
            withRateLimit("LIST", request.segments().get(2), reads, exchange, () -> list(request, exchange));
        } else if (request.matches("GET", 3, "v1", "watch")) {
            withRateLimit("WATCH", request.segments().get(2), reads, exchange, () -> watch(request, exchange));
        } else if (request.matches(request.method(), 4, "v1", "objects")) {
            handleObject(request, exchange);
        } else {
            exchange.respond(Response.error(404, "not_found"));
        }
    }

    private void handleObject(Request request, Exchange exchange) {
        String kind = request.segments().get(2);
        String name = request.segments().get(3);
        switch (request.method()) {
            case "GET" -> withRateLimit("GET", kind, reads, exchange, () -> get(kind, name, exchange));
            case "PUT" -> withRateLimit("PUT", kind, writes, exchange, () -> put(kind, name, request, exchange));
            case "DELETE" ->
                withRateLimit("DELETE", kind, writes, exchange, () -> delete(kind, name, request, exchange));
            default -> exchange.respond(Response.error(405, "method_not_allowed"));
        }
    }

    private void withRateLimit(String method, String kind, RateLimit limit, Exchange exchange, Runnable handler) {
        boolean allowed = limit.tryAcquire(context.nowMs());
        counter.count(method, kind, !allowed);
        if (!allowed) {
            exchange.respond(Response.error(429, "too_many_requests").withHeader("Retry-After", "1"));
            return;
        }
        handler.run();
    }

    private void get(String kind, String name, Exchange exchange) {
        Optional<StoredObject> found = store.find(kind, name);
        exchange.respond(found.map(object -> textResponse(200, object.version(), object.body()))
                .orElseGet(() -> Response.error(404, "not_found")));
    }

    private void put(String kind, String name, Request request, Exchange exchange) {
        if (request.bodyBytes() > MAX_VALUE_BYTES) {
            exchange.respond(Response.error(413, "too_large"));
            return;
        }
        Optional<Precondition> condition = Precondition.of(request);
        if (condition.isEmpty()) {
            exchange.respond(Response.error(428, "precondition_required"));
            return;
        }
        boolean created = store.find(kind, name).isEmpty();
        Optional<StoredObject> written = store.put(kind, name, request.body(), condition.get());
        if (written.isEmpty()) {
            exchange.respond(Response.error(412, "precondition_failed"));
            return;
        }
        exchange.respond(textResponse(created ? 201 : 200, written.get().version(), ""));
        notifyWatches(kind);
    }

    private void delete(String kind, String name, Request request, Exchange exchange) {
        Optional<Precondition> condition = Precondition.of(request);
        if (condition.isEmpty()) {
            exchange.respond(Response.error(428, "precondition_required"));
            return;
        }
        if (store.find(kind, name).isEmpty()) {
            exchange.respond(Response.error(404, "not_found"));
            return;
        }
        if (!store.delete(kind, name, condition.get())) {
            exchange.respond(Response.error(412, "precondition_failed"));
            return;
        }
        exchange.respond(new Response(204, "text/plain", Map.of(), ""));
        notifyWatches(kind);
    }

    private void list(Request request, Exchange exchange) {
        String prefix = request.query().getOrDefault("prefix", "");
        String after = request.query().getOrDefault("after", "");
        long limit = request.number("limit", DEFAULT_LIST_LIMIT);
        if (limit < 1) {
            throw new IllegalArgumentException("limit must be at least 1: " + limit);
        }
        List<StoredObject> items = store.list(request.segments().get(2), prefix, after, limit);
        exchange.respond(Response.json(200, new Listing(store.revision(), items)));
    }

    private void watch(Request request, Exchange exchange) {
        Watch watch = new Watch(request.segments().get(2), request.number("since", 0), exchange);
        long waitMs = Math.min(MAX_WAIT_MS, request.number("wait_ms", 0));
        if (waitMs <= 0 || isDue(watch)) {
            respondTo(watch);
            return;
        }
        watches.add(watch);
        exchange.onClose(() -> watches.removeIf(waiting -> waiting == watch));
        context.after(waitMs, () -> {
            if (watches.removeIf(waiting -> waiting == watch)) {
                respondTo(watch);
            }
        });
    }

    private void notifyWatches(String kind) {
        Iterator<Watch> waiting = watches.iterator();
        while (waiting.hasNext()) {
            Watch watch = waiting.next();
            if (watch.kind().equals(kind)) {
                waiting.remove();
                respondTo(watch);
            }
        }
    }

    private boolean isDue(Watch watch) {
        return !store.holdsChangesSince(watch.since())
                || !store.changes(watch.kind(), watch.since()).isEmpty();
    }

    private void respondTo(Watch watch) {
        boolean inHistory = store.holdsChangesSince(watch.since());
        List<Change> changes = inHistory ? store.changes(watch.kind(), watch.since()) : List.of();
        Boolean reset = inHistory ? null : Boolean.TRUE;
        watch.exchange().respond(Response.json(200, new Changes(store.revision(), changes, reset)));
    }

    private void listVms(Exchange exchange) {
        exchange.respond(Response.json(200, new Vms(vms.visible(context.nowMs()))));
    }

    private void putVm(Request request, Exchange exchange) {
        VmView sent = Json.read(request.body(), VmView.class);
        vms.put(new VmView(request.segments().get(2), sent.availabilityZone(), sent.state()), context.nowMs());
        exchange.respond(Response.json(200, sent));
    }

    private static Response textResponse(int status, long version, String body) {
        return new Response(status, "text/plain; charset=utf-8", Map.of("ETag", "\"" + version + "\""), body);
    }

    private record Listing(long revision, List<StoredObject> items) {}

    private record Changes(long revision, List<Change> changes, Boolean reset) {}

    private record Vms(List<VmView> vms) {}

    private record Counters(long revision, int waitingWatches, List<CallCounter.Count> calls) {}
}
