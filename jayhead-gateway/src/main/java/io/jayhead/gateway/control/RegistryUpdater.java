package io.jayhead.gateway.control;

import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.routing.registry.Departures;
import io.jayhead.routing.registry.RegistryTracker;
import io.jayhead.routing.registry.Upstream;
import io.jayhead.routing.registry.UpstreamRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/** Decides from the platform's list of upstreams which ones may be used; used by the control thread. */
final class RegistryUpdater {

    /** Upstreams lapse after this many heartbeats without one. */
    private static final int LAPSE_HEARTBEATS = 3;
    /** Bounds the length of a line when many upstreams leave at once. */
    private static final int MAX_LOGGED_UPSTREAMS = 20;

    private final StructuredLog log;
    private final long heartbeatMs;
    private final long distrustMs;
    private final Consumer<UpstreamRegistry> listener;
    private RegistryTracker tracker = RegistryTracker.empty();
    private Departures departures = Departures.empty();

    /**
     * Creates an instance without upstreams.
     *
     * @param heartbeatMs the time in milliseconds between two heartbeats by which upstreams stay registered
     * @param log receives changes of the registry
     * @param listener receives the upstreams that may be used, after each change
     */
    RegistryUpdater(long heartbeatMs, StructuredLog log, Consumer<UpstreamRegistry> listener) {
        this.heartbeatMs = heartbeatMs;
        this.distrustMs = LAPSE_HEARTBEATS * heartbeatMs + RegistryTracker.REREGISTRATION_MS;
        this.log = log;
        this.listener = listener;
    }

    /** Takes over all entries of the platform. */
    void listed(UpstreamListing listing) {
        Map<String, Upstream> listed = new HashMap<>();
        listing.byId().forEach((id, upstream) -> listed.put(id, departures.correct(upstream, nowMs())));
        publish(tracker.listed(listed, nowMs()), "listed");
    }

    /** Takes over changes that the platform reports. */
    void changed(UpstreamChanges changes) {
        RegistryTracker next = tracker;
        for (UpstreamChange change : changes.changes()) {
            RegistryTracker before = next;
            next = change.entry()
                    .map(entry -> before.changed(departures.correct(entry, nowMs())))
                    .orElseGet(() -> before.deleted(change.id(), nowMs()));
        }
        publish(next, "changed");
    }

    /** Removes entries that were kept for upstreams that could not register, once that time has passed. */
    void expire() {
        RegistryTracker next = tracker.expired(nowMs());
        if (next != tracker) {
            publish(next, "expired");
        }
    }

    /**
     * Keeps entries that lapsed in an outage until their upstreams could register again. In an outage of less than a
     * heartbeat none lapses, as two more may be missing before that.
     *
     * @param outageMs the milliseconds for which the platform may have been away
     */
    void platformRecovered(long outageMs) {
        if (outageMs >= heartbeatMs) {
            tracker = tracker.platformRecovered(nowMs());
        }
    }

    /**
     * Distrusts entries of upstreams that have left, since the platform came back with an older copy.
     *
     * @return the time in milliseconds after which all must be read again, because by then the entries of the copy have
     *     lapsed or have been written again
     */
    long platformRestored() {
        tracker = tracker.platformRecovered(nowMs());
        departures = departures.restored(nowMs() + distrustMs);
        return distrustMs;
    }

    private void publish(RegistryTracker next, String cause) {
        departures = departures.changed(tracker.registry(), next.registry(), nowMs());
        Set<String> left = new TreeSet<>(tracker.registry().readyIncarnations());
        left.removeAll(next.registry().readyIncarnations());
        tracker = next;
        log.write(
                LogKind.STATE,
                "registry in force",
                "cause",
                cause,
                "upstreams",
                next.registry().ids().size(),
                "missing",
                next.missing().size(),
                "left_upstreams",
                firstOf(left),
                "kept_upstreams",
                firstOf(new TreeSet<>(next.missing())));
        listener.accept(next.registry());
    }

    private static List<String> firstOf(Set<String> names) {
        return names.stream().limit(MAX_LOGGED_UPSTREAMS).toList();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
