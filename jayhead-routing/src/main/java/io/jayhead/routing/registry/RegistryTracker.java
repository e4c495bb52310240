package io.jayhead.routing.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Follows the platform's list of upstreams; an immutable value.
 *
 * <p>An entry that disappears while the platform is away, or shortly after its return, may belong to an upstream that
 * is alive but could not renew it. Such an entry is kept until the upstream had the time to register again.
 *
 * @param registry the upstreams that may be used
 * @param missing the identities of kept entries that the platform no longer lists
 * @param keepUntilMs the time until which missing entries are kept
 */
public record RegistryTracker(UpstreamRegistry registry, Set<String> missing, long keepUntilMs) {

    /** The time that upstreams need to register again after the platform has returned. */
    public static final long REREGISTRATION_MS = 2_200;

    /** Copies the set. */
    public RegistryTracker {
        missing = Set.copyOf(missing);
    }

    /**
     * Returns a tracker that knows no upstream.
     *
     * @return the tracker
     */
    public static RegistryTracker empty() {
        return new RegistryTracker(UpstreamRegistry.empty(), Set.of(), Long.MIN_VALUE);
    }

    /**
     * Records that the platform answers again after an outage.
     *
     * @param nowMs the present time
     * @return the new tracker
     */
    public RegistryTracker platformReturned(long nowMs) {
        return new RegistryTracker(registry, missing, nowMs + REREGISTRATION_MS);
    }

    /**
     * Replaces the list.
     *
     * @param listed the upstreams by identity
     * @param nowMs the present time
     * @return the new tracker
     */
    public RegistryTracker listed(Map<String, Upstream> listed, long nowMs) {
        if (nowMs >= keepUntilMs) {
            return new RegistryTracker(UpstreamRegistry.of(listed), Set.of(), keepUntilMs);
        }
        Set<String> gone = new HashSet<>(registry.ids());
        gone.removeAll(listed.keySet());
        Map<String, Upstream> entries = new HashMap<>(listed);
        gone.forEach(id -> registry.find(id).ifPresent(upstream -> entries.put(id, upstream)));
        return new RegistryTracker(UpstreamRegistry.of(entries), gone, keepUntilMs);
    }

    /**
     * Adds or replaces an entry.
     *
     * @param upstream the entry
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
     * @param id the identity
     * @param nowMs the present time
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
     * Removes the missing entries when the time for registering again is over.
     *
     * @param nowMs the present time
     * @return the new tracker
     */
    public RegistryTracker expired(long nowMs) {
        if (missing.isEmpty() || nowMs < keepUntilMs) {
            return this;
        }
        return new RegistryTracker(registry.without(missing), Set.of(), keepUntilMs);
    }
}
