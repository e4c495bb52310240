package io.jayhead.gateway.exchange;

import io.jayhead.admission.overload.ServiceRoom;
import io.jayhead.admission.room.UsualDeadline;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** Keeps one gate for each service, and the usual deadlines of the routes; used by the traffic thread. */
public final class ServiceGates {

    private final EventLoop loop;
    private final Function<String, ServiceRoom> rooms;
    private final GateRecorder recorder;
    private final Map<String, ServiceGate> byService = new HashMap<>();
    private final Map<String, UsualDeadline> deadlinesByRoute = new HashMap<>();
    private long lastRequest;

    /**
     * Creates gates without limits.
     *
     * @param loop the traffic thread
     * @param rooms returns what the upstreams of a service report
     * @param log the log
     * @param metrics the metrics
     */
    public ServiceGates(
            EventLoop loop, Function<String, ServiceRoom> rooms, StructuredLog log, GatewayMetrics metrics) {
        this.loop = loop;
        this.rooms = rooms;
        this.recorder = new GateRecorder(log, metrics);
    }

    ServiceGate of(String service) {
        return byService.computeIfAbsent(service, name -> new ServiceGate(loop, () -> rooms.apply(name), recorder));
    }

    /** Records the deadline of a request, and returns for how long its caller has been trying. */
    long triedForMs(String route, long deadlineMs) {
        UsualDeadline usual = deadlinesByRoute.getOrDefault(route, UsualDeadline.UNKNOWN);
        deadlinesByRoute.put(route, usual.arrived(deadlineMs));
        return usual.triedForMs(deadlineMs);
    }

    /** Returns an id that identifies a request at the gates; ids that callers choose may occur twice. */
    String newId() {
        lastRequest++;
        return Long.toString(lastRequest);
    }
}
