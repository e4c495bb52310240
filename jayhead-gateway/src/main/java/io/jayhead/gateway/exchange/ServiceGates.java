package io.jayhead.gateway.exchange;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;

/** Keeps one gate for each service; used by the traffic thread. */
public final class ServiceGates {

    private final EventLoop loop;
    private final Map<String, ServiceGate> byService = new HashMap<>();
    private long lastRequest;

    /**
     * Creates gates without limits.
     *
     * @param loop the traffic thread
     */
    public ServiceGates(EventLoop loop) {
        this.loop = loop;
    }

    ServiceGate of(String service) {
        return byService.computeIfAbsent(service, name -> new ServiceGate(loop));
    }

    /** Returns an id that identifies a request at the gates; ids that callers choose may occur twice. */
    String newId() {
        lastRequest++;
        return Long.toString(lastRequest);
    }
}
