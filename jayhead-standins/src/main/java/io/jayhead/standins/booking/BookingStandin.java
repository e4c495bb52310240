package io.jayhead.standins.booking;

import com.fasterxml.jackson.databind.JsonNode;
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
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates a booking service without deduplication: each post executes the booking again, so that tests can count
 * repeated executions.
 */
public final class BookingStandin implements Standin {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final BookingOptions options;
    private final StandinContext context;
    private final Map<String, Integer> executions = new TreeMap<>();
    private int running;

    /**
     * Creates a service without bookings.
     *
     * @param options the name and the response delay
     * @param context the control thread and the active faults
     */
    public BookingStandin(BookingOptions options, StandinContext context) {
        this.options = options;
        this.context = context;
    }

    @Override
    public Set<FaultKind> faults() {
        return FaultKind.commonAnd(FaultKind.DRAINING);
    }

    @Override
    public void handle(Request request, Exchange exchange) {
        if (request.matches("POST", 1, "bookings")) {
            book(request, exchange);
        } else if (request.matches("GET", 2, "bookings")) {
            find(request.segments().get(1), exchange);
        } else if (request.matches("GET", 1, "executions")) {
            exchange.respond(Response.json(200, new Executions(executions)));
        } else if (request.matches("GET", 2, "v1", "load")) {
            exchange.respond(Response.json(200, load()));
        } else {
            exchange.respond(Response.error(404, "not_found"));
        }
    }

    private void book(Request request, Exchange exchange) {
        if (isDraining(request.path())) {
            exchange.respond(Response.error(503, "draining"));
            return;
        }
        JsonNode orderNode = Json.read(request.body(), JsonNode.class).path("order");
        if (!orderNode.isValueNode() || orderNode.asText().isEmpty()) {
            throw new IllegalArgumentException("the body must have an order");
        }
        String order = orderNode.asText();
        int count = executions.merge(order, 1, Integer::sum);
        LOG.atInfo().log("%s executed order %s, execution %d", options.name(), order, count);
        Response response = Response.json(201, new Booking(order, count));
        if (options.delayMs() == 0) {
            exchange.respond(response);
            return;
        }
        running++;
        context.after(options.delayMs(), () -> {
            running--;
            exchange.respond(response);
        });
    }

    private void find(String order, Exchange exchange) {
        Integer count = executions.get(order);
        exchange.respond(
                count == null ? Response.error(404, "not_found") : Response.json(200, new Booking(order, count)));
    }

    private Load load() {
        return new Load(0, running, 0, 0, isDraining(""), 0, List.of(), List.of());
    }

    private boolean isDraining(String path) {
        return context.faults().isActive(FaultKind.DRAINING, path);
    }

    private record Booking(String order, int executions) {}

    private record Executions(Map<String, Integer> executions) {}

    private record Load(
            int queued,
            int running,
            int maxBatch,
            double tokensPerSecond,
            boolean draining,
            long ageMs,
            List<String> models,
            List<String> adapters) {}
}
