package io.jayhead.routing.registry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which upstreams have left, so that a platform that comes back from an older copy does not bring them back;
 * immutable.
 *
 * <p>The copy may list an upstream as ready that has announced its leaving since, or whose entry was removed. One that
 * is alive after all writes its entry again, and the entry of one that has left lapses.
 *
 * @param leftAtMs when an incarnation was first seen to be draining or no longer listed
 * @param heldUntilMs the time until which these incarnations get no requests although they are listed as ready
 */
public record Departures(Map<String, Long> leftAtMs, long heldUntilMs) {

    /** Copies that are older than this do not occur. */
    private static final long REMEMBERED_MS = 60_000;

    /** Copies the map. */
    public Departures {
        leftAtMs = Map.copyOf(leftAtMs);
    }

    /**
     * Returns an instance that remembers nothing.
     *
     * @return the empty instance
     */
    public static Departures empty() {
        return new Departures(Map.of(), Long.MIN_VALUE);
    }

    /**
     * Records a change of the registry.
     *
     * @param before the registry before the change
     * @param after the registry after it
     * @param nowMs the current time
     * @return the new instance
     */
    public Departures changed(UpstreamRegistry before, UpstreamRegistry after, long nowMs) {
        Map<String, Long> next = new HashMap<>(leftAtMs);
        next.values().removeIf(leftMs -> nowMs - leftMs > REMEMBERED_MS);
        Set<String> ready = after.readyIncarnations();
        before.ids().stream()
                .map(id -> before.find(id).orElseThrow().incarnation())
                .filter(incarnation -> !ready.contains(incarnation))
                .forEach(incarnation -> next.putIfAbsent(incarnation, nowMs));
        if (nowMs >= heldUntilMs) {
            next.keySet().removeAll(ready);
        }
        return new Departures(next, heldUntilMs);
    }

    /**
     * Records that the platform came back from an older copy.
     *
     * @param untilMs the time until which the entries of the copy are distrusted
     * @return the new instance
     */
    public Departures restored(long untilMs) {
        return new Departures(leftAtMs, untilMs);
    }

    /**
     * Corrects an entry of the platform.
     *
     * @param listed the entry
     * @param nowMs the current time
     * @return the entry, as draining if the upstream left before the platform came back
     */
    public Upstream correct(Upstream listed, long nowMs) {
        boolean held = nowMs < heldUntilMs && leftAtMs.containsKey(listed.incarnation());
        return held ? listed.asDraining() : listed;
    }
}
