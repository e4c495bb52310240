package io.jayhead.routing.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the platform's list of upstreams; immutable.
 *
 * <p>An entry that disappears during a platform outage or shortly afterwards may belong to an upstream that is alive
 * but could not renew its registration. Such an entry is kept until the upstream has had time to register again.
 *
 * @param registry the upstreams that may be used, including missing ones
 * @param missing the identities of entries that are kept although the platform no longer lists them
 * @param keepUntilMs the time until which missing entries are kept
 */
public record RegistryTracker(UpstreamRegistry registry, Set<String> missing, long keepUntilMs) {

    /** The time that upstreams need to register again after a platform outage. */
    public static final long REREGISTRATION_MS = 2_200;

    /** Makes a defensive copy of the set. */
    public RegistryTracker {
        missing = Set.copyOf(missing);
    }

    /**
     * Returns a tracker without upstreams.
     *
     * @return the empty tracker
     */
    public static RegistryTracker empty() {
        return new RegistryTracker(UpstreamRegistry.empty(), Set.of(), Long.MIN_VALUE);
    }

    /**
     * Records that the platform answers again after an outage.
     *
     * @param nowMs the current time
     * @return the new tracker
     */
    public RegistryTracker platformRecovered(long nowMs) {
        return new RegistryTracker(registry, missing, nowMs + REREGISTRATION_MS);
    }

    /**
     * Replaces the entries by a new list of the platform. While upstreams may still register again, entries that are
     * not on the list are kept as missing.
     *
     * @param listed the listed upstreams by identity
     * @param nowMs the current time
     * @return the new tracker
     */
    public RegistryTracker listed(Map<String, Upstream> listed, long nowMs) {
        if (nowMs >= keepUntilMs) {
            return new RegistryTracker(UpstreamRegistry.of(listed), Set.of(), keepUntilMs);
        }
        Set<String> unlisted = new HashSet<>(registry.ids());
        unlisted.removeAll(listed.keySet());
        Map<String, Upstream> entries = new HashMap<>(listed);
        unlisted.forEach(id -> registry.find(id).ifPresent(upstream -> entries.put(id, upstream)));
        return new RegistryTracker(UpstreamRegistry.of(entries), unlisted, keepUntilMs);
    }

    /**
     * Adds or replaces an entry.
     *
     * @param upstream the new entry
     * @return the new tracker
     */
    public RegistryTracker changed(Upstream upstream) {
        Set<String> stillMissing = new HashSet<>(missing);
        stillMissing.remove(upstream.id());
        return new RegistryTracker(registry.with(upstream), stillMissing, keepUntilMs);
    }

    /**
     * Removes an entry, or marks it as missing while upstreams may still register again.
     *
     * @param id the identity of the upstream
     * @param nowMs the current time
     * @return the new tracker
     */
    public RegistryTracker deleted(String id, long nowMs) {
        if (nowMs >= keepUntilMs || registry.find(id).isEmpty()) {
            return new RegistryTracker(registry.without(Set.of(id)), missing, keepUntilMs);
        }
        Set<String> nowMissing = new HashSet<>(missing);
        nowMissing.add(id);
        return new RegistryTracker(registry, nowMissing, keepUntilMs);
    }

    /**
     * Removes the missing entries once the time for registering again has passed.
     *
     * @param nowMs the current time
     * @return the new tracker
     */
    public RegistryTracker expired(long nowMs) {
        if (missing.isEmpty() || nowMs < keepUntilMs) {
            return this;
        }
        return new RegistryTracker(registry.without(missing), Set.of(), keepUntilMs);
    }
}
