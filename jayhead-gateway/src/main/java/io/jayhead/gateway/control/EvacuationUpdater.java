package io.jayhead.gateway.control;

import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.jayhead.routing.registry.ZoneEvacuations;
import java.util.TreeSet;
import java.util.function.Consumer;

/** Takes over the evacuations of availability zones that the platform reports; used by the control thread. */
final class EvacuationUpdater {

    private final StructuredLog log;
    private final GatewayMetrics metrics;
    private final Consumer<ZoneEvacuations> listener;
    private ZoneEvacuations evacuations = ZoneEvacuations.unread();

    /**
     * Creates an instance that has read nothing.
     *
     * @param log receives changes of the evacuations
     * @param metrics shows the number of evacuated availability zones
     * @param listener receives the evacuations in force after each change
     */
    EvacuationUpdater(StructuredLog log, GatewayMetrics metrics, Consumer<ZoneEvacuations> listener) {
        this.log = log;
        this.metrics = metrics;
        this.listener = listener;
    }

    /** Takes over all evacuations of the platform. */
    void listed(EvacuationListing listing) {
        publish(evacuations.listed(listing.zones(), nowMs()));
    }

    /** Takes over changes that the platform reports. */
    void changed(EvacuationChanges changes) {
        ZoneEvacuations next = evacuations;
        for (EvacuationChange change : changes.changes()) {
            next = change.evacuated() ? next.started(change.zone()) : next.ended(change.zone(), nowMs());
        }
        publish(next);
    }

    private void publish(ZoneEvacuations next) {
        boolean changed = !next.zones().equals(evacuations.zones());
        evacuations = next;
        if (changed) {
            log.write(LogKind.STATE, "evacuations in force", "availability_zones", new TreeSet<>(next.zones()));
        }
        metrics.evacuatedZones(next.zones().size());
        listener.accept(next);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
