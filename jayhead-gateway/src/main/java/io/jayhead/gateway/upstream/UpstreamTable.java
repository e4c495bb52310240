package io.jayhead.gateway.upstream;

import io.jayhead.admission.overload.ServiceRoom;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.jayhead.gateway.wire.WireDialect;
import io.jayhead.routing.placement.PlacementCandidate;
import io.jayhead.routing.placement.ServiceRates;
import io.jayhead.routing.registry.Upstream;
import io.jayhead.routing.registry.UpstreamRegistry;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds a handle for every incarnation of an upstream that this router uses or still has connections to; used by the
 * traffic thread.
 */
public final class UpstreamTable {

    private static final long NS_PER_MS = 1_000_000;
    /** Each request needs the room, and computing it visits every upstream, so it is reused for this time. */
    private static final long ROOM_MAX_AGE_NS = 50 * NS_PER_MS;

    private final EventLoop loop;
    private final WireDialect dialect;
    private final String availabilityZone;
    private final ConnectionListener listener;
    private final Map<String, UpstreamHandle> handles = new HashMap<>();
    private final Map<String, ServiceObservations> observationsByService = new HashMap<>();
    private final Map<String, TimedRoom> rooms = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param loop the traffic thread
     * @param dialect reads the answers
     * @param availabilityZone the availability zone of this router
     * @param listener is notified of the connections to all upstreams
     */
    public UpstreamTable(EventLoop loop, WireDialect dialect, String availabilityZone, ConnectionListener listener) {
        this.loop = loop;
        this.dialect = dialect;
        this.availabilityZone = availabilityZone;
        this.listener = listener;
    }

    /**
     * Returns the ready upstreams of a service with their load.
     *
     * @param registry the current registry
     * @param service the name of the service
     * @return the candidates for placement; empty if no upstream is ready
     */
    public List<PlacementCandidate> candidates(UpstreamRegistry registry, String service) {
        long nowNs = System.nanoTime();
        return registry.ready(service).stream()
                .map(upstream -> handle(upstream).candidate(nowNs))
                .toList();
    }

    /**
     * Returns the handle of an upstream, updated to the given entry; creates it if necessary.
     *
     * @param upstream the newest registry entry of the upstream
     * @return the handle of this incarnation
     */
    public UpstreamHandle handle(Upstream upstream) {
        UpstreamHandle handle = handles.computeIfAbsent(
                upstream.incarnation(),
                incarnation -> new UpstreamHandle(
                        upstream,
                        new UpstreamConnectionPool(upstream, loop, dialect, listener),
                        upstream.availabilityZone().equals(availabilityZone),
                        observations(upstream.service())));
        handle.update(upstream);
        return handle;
    }

    /**
     * Returns the places of the ready upstreams of a service, from their reports and the requests of this router.
     *
     * @param registry the current registry
     * @param service the name of the service
     * @return the room; unknown if no upstream is ready
     */
    public ServiceRoom room(UpstreamRegistry registry, String service) {
        long nowNs = System.nanoTime();
        TimedRoom last = rooms.get(service);
        if (last != null && nowNs - last.atNs() < ROOM_MAX_AGE_NS) {
            return last.room();
        }
        ServiceRoom room = RoomEstimate.of(registry.ready(service).stream()
                .map(upstream -> handle(upstream).room(nowNs))
                .toList());
        rooms.put(service, new TimedRoom(room, nowNs));
        return room;
    }

    private record TimedRoom(ServiceRoom room, long atNs) {}

    /**
     * Returns how fast the upstreams of a service work.
     *
     * @param service the name of the service
     * @return the rates learned by this router, or the defaults
     */
    public ServiceRates rates(String service) {
        return observations(service).rates();
    }

    /**
     * Returns the upstreams that probably hold the shared parts of a prompt.
     *
     * @param service the name of the service
     * @param affinityKey the key of the parts
     * @return the incarnations; empty for a service whose rates are not learned
     */
    public Set<String> partHolders(String service, String affinityKey) {
        return observations(service).partHolders(affinityKey, nowMs());
    }

    /**
     * Records that a request with shared parts is sent to an upstream.
     *
     * @param upstream the upstream
     * @param affinityKey the key of the parts; ignored if empty
     */
    public void partSent(Upstream upstream, String affinityKey) {
        observations(upstream.service()).partSent(affinityKey, upstream.incarnation(), nowMs());
    }

    private static long nowMs() {
        return System.nanoTime() / NS_PER_MS;
    }

    private ServiceObservations observations(String service) {
        return observationsByService.computeIfAbsent(service, name -> new ServiceObservations());
    }

    /**
     * Records the load and speed of the services whose upstreams report both.
     *
     * @param registry the current registry
     * @param metrics receives them
     */
    public void recordLoad(UpstreamRegistry registry, GatewayMetrics metrics) {
        observationsByService.forEach((service, observations) -> {
            if (observations.load().reportsSlowdown()) {
                metrics.serviceLoad(
                        service, room(registry, service), observations.rates().promptTokensPerMs());
            }
        });
    }

    /**
     * Closes idle connections that have expired or whose upstream is draining or no longer listed, and forgets
     * upstreams that are no longer in use.
     *
     * @param registry the current registry
     */
    public void sweep(UpstreamRegistry registry) {
        long nowNs = System.nanoTime();
        handles.values().forEach(handle -> sweep(handle, registry, nowNs));
        handles.values().removeIf(handle -> !registry.isReady(handle.upstream()) && handle.isIdle());
    }

    private static void sweep(UpstreamHandle handle, UpstreamRegistry registry, long nowNs) {
        if (registry.isReady(handle.upstream())) {
            handle.pool().closeExpired(nowNs);
        } else {
            handle.pool().closeIdle();
        }
    }
}
