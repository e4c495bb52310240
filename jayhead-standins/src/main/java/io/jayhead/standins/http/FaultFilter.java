package io.jayhead.standins.http;

import com.google.common.flogger.FluentLogger;
import io.jayhead.standins.fault.Fault;
import io.jayhead.standins.fault.FaultBody;
import io.jayhead.standins.fault.FaultKind;
import io.netty.channel.Channel;
import java.util.function.IntConsumer;

/** Applies the active faults to each request before the stand-in handles it. Runs on the control thread. */
final class FaultFilter {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long FREEZE_POLL_MS = 10;

    /** Gives the response to the injection of {@code die} time to reach its caller before the process exits. */
    private static final long EXIT_DELAY_MS = 50;

    private static final int EXIT_STATUS = 1;

    private final StandinContext context;
    private final Standin standin;
    private final Connections connections;
    private final IntConsumer exit;

    FaultFilter(StandinContext context, Standin standin, Connections connections, IntConsumer exit) {
        this.context = context;
        this.standin = standin;
        this.connections = connections;
        this.exit = exit;
    }

    void handle(Request request, Exchange exchange, Channel channel) {
        if (request.path().equals(ControlPaths.FAULTS)) {
            runWithErrorResponse(exchange, () -> injectFault(request, exchange, channel));
            return;
        }
        if (ControlPaths.contains(request)) {
            runWithErrorResponse(exchange, () -> standin.handle(request, exchange));
            return;
        }
        if (context.faults().isFrozen(request.path())) {
            context.after(FREEZE_POLL_MS, () -> handle(request, exchange, channel));
            return;
        }
        if (context.faults().tryConsume(FaultKind.OUTAGE, request.path())) {
            exchange.respond(Response.error(503, "unavailable"));
            return;
        }
        long delayMs = context.faults().delayMs(request.path());
        if (delayMs > 0) {
            context.after(delayMs, () -> runWithErrorResponse(exchange, () -> standin.handle(request, exchange)));
            return;
        }
        runWithErrorResponse(exchange, () -> standin.handle(request, exchange));
    }

    private void injectFault(Request request, Exchange exchange, Channel channel) {
        if (!request.method().equals("POST")) {
            exchange.respond(Response.error(405, "method_not_allowed"));
            return;
        }
        Fault fault = Fault.of(Json.read(request.body(), FaultBody.class));
        if (!standin.faults().contains(fault.kind())) {
            exchange.respond(Response.error(400, "unsupported_fault"));
            return;
        }
        LOG.atInfo().log("fault injected: %s", fault);
        int silenced = 0;
        if (fault.kind() == FaultKind.SILENT) {
            silenced = connections.silence(channel, fault.path());
        } else if (fault.kind() == FaultKind.DIE) {
            context.after(EXIT_DELAY_MS + fault.delayMs(), () -> exit.accept(EXIT_STATUS));
        } else {
            context.faults().add(fault);
        }
        exchange.respond(Response.json(200, new FaultOrdered(fault.kind().text(), silenced)));
    }

    private static void runWithErrorResponse(Exchange exchange, Runnable task) {
        try {
            task.run();
        } catch (IllegalArgumentException e) {
            exchange.respond(Response.json(400, new ErrorBody("bad_request", e.getMessage())));
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("request failed");
            exchange.respond(Response.error(500, "internal_error"));
        }
    }

    private record FaultOrdered(String fault, int silencedConnections) {}
}
