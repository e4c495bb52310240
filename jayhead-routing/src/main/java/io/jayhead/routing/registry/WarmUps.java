package io.jayhead.routing.registry;

import io.jayhead.routing.catalog.ServiceProfile;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tells which upstreams warm up, that is, may get few requests a second only; immutable.
 *
 * <p>Answers the load on upstreams that have just started: they look idle to every router at the same time, and would
 * fail under the load that the whole fleet sends.
 *
 * <p>An upstream warms up for a time that its service configures after this router first saw its incarnation, after its
 * availability zone was taken back, and for as long as its entry says. The first list that a router reads shows no
 * starts; there only the entries count.
 *
 * @param seenAtMs the time in milliseconds, by incarnation, at which it was first seen; without those of the first list
 * @param reportedUntilMs the time in milliseconds, by incarnation, until which it warms up according to its newest
 *     entry
 */
public record WarmUps(Map<String, Long> seenAtMs, Map<String, Long> reportedUntilMs) {

    /** Makes immutable copies. */
    public WarmUps {
        seenAtMs = Map.copyOf(seenAtMs);
        reportedUntilMs = Map.copyOf(reportedUntilMs);
    }

    /**
     * Returns an instance without upstreams.
     *
     * @return the empty instance
     */
    public static WarmUps none() {
        return new WarmUps(Map.of(), Map.of());
    }

    /**
     * Takes over the first list of upstreams.
     *
     * @param registry the listed upstreams
     * @param nowMs the current time
     * @return the new instance
     */
    public WarmUps first(UpstreamRegistry registry, long nowMs) {
        Map<String, Long> reported = new HashMap<>();
        for (String id : registry.ids()) {
            report(registry.find(id).orElseThrow(), nowMs, reported);
        }
        return new WarmUps(Map.of(), reported);
    }

    /**
     * Takes over a change of the registry. An entry that has not changed reports nothing new, so its time goes on.
     *
     * @param before the registry before the change
     * @param after the registry after it
     * @param nowMs the current time
     * @return the new instance
     */
    public WarmUps changed(UpstreamRegistry before, UpstreamRegistry after, long nowMs) {
        Map<String, Long> seen = new HashMap<>();
        Map<String, Long> reported = new HashMap<>();
        for (String id : after.ids()) {
            Upstream upstream = after.find(id).orElseThrow();
            String incarnation = upstream.incarnation();
            Upstream known = before.find(id).orElse(null);
            if (known == null || !known.incarnation().equals(incarnation)) {
                seen.put(incarnation, nowMs);
            } else if (seenAtMs.containsKey(incarnation)) {
                seen.put(incarnation, seenAtMs.get(incarnation));
            }
            if (!upstream.equals(known)) {
                report(upstream, nowMs, reported);
            } else if (reportedUntilMs.containsKey(incarnation)) {
                reported.put(incarnation, reportedUntilMs.get(incarnation));
            }
        }
        return new WarmUps(seen, reported);
    }

    private static void report(Upstream upstream, long nowMs, Map<String, Long> reportedUntilMs) {
        if (upstream.warmUpLeftMs() > 0) {
            reportedUntilMs.put(upstream.incarnation(), nowMs + upstream.warmUpLeftMs());
        }
    }

    /**
     * Tells whether an upstream warms up.
     *
     * @param upstream the upstream
     * @param service the service to which it belongs
     * @param evacuations the evacuations of availability zones
     * @param nowMs the current time
     * @return true if the service limits what its upstreams get while they warm up, and this one does
     */
    public boolean isWarmingUp(Upstream upstream, ServiceProfile service, ZoneEvacuations evacuations, long nowMs) {
        if (!service.limitsWarmUp()) {
            return false;
        }
        String incarnation = upstream.incarnation();
        if (nowMs < reportedUntilMs.getOrDefault(incarnation, Long.MIN_VALUE)) {
            return true;
        }
        long startedMs = Math.max(
                seenAtMs.getOrDefault(incarnation, Long.MIN_VALUE),
                evacuations.takenBackAtMs(upstream.availabilityZone()).orElse(Long.MIN_VALUE));
        return startedMs != Long.MIN_VALUE && nowMs - startedMs < service.warmUpMs();
    }

    /**
     * Returns the upstreams whose newest entry says that they warm up.
     *
     * @param nowMs the current time
     * @return the incarnations in the order of their names
     */
    public Set<String> reported(long nowMs) {
        Set<String> incarnations = new TreeSet<>();
        reportedUntilMs.forEach((incarnation, untilMs) -> {
            if (nowMs < untilMs) {
                incarnations.add(incarnation);
            }
        });
        return incarnations;
    }
}
