package io.jayhead.daemon.recovery;

import io.jayhead.daemon.fleet.Member;
import io.jayhead.daemon.fleet.PeerState;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.VmName;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks which router incarnations are gone and since when; confined to the control thread.
 *
 * <p>An incarnation is gone while it is not registered, or while its VM is missing from the VM list and it answers no
 * heartbeat. This decides only when a reclaim is tried; the reclaim itself is safe even if the router still runs.
 */
final class LostRouters {

    /** Four missed heartbeats at the default period. */
    private static final long SILENCE_LIMIT_MS = 2_000;

    private final Map<IncarnationId, TrackedRouter> routers = new HashMap<>();
    private boolean hasObserved;

    /**
     * The state of one router incarnation.
     *
     * @param seenAtMs when this router first saw it; 0 if it may have run before this router started
     * @param goneSinceMs when this router found it to be gone; 0 if it is present
     * @param registration its registration with the platform; empty if it is not registered
     * @param attempts the number of reclaim attempts since it is gone
     * @param nextAttemptMs the earliest time of the next reclaim attempt
     */
    record TrackedRouter(
            long seenAtMs, long goneSinceMs, Optional<Member> registration, int attempts, long nextAttemptMs) {

        boolean isGone() {
            return goneSinceMs > 0;
        }

        TrackedRouter withPresence(boolean gone, long nowMs, Optional<Member> member) {
            if (!gone) {
                return new TrackedRouter(seenAtMs, 0, member, 0, 0);
            }
            return new TrackedRouter(seenAtMs, isGone() ? goneSinceMs : nowMs, member, attempts, nextAttemptMs);
        }

        TrackedRouter withAttempt(long nextAttemptMs) {
            return new TrackedRouter(seenAtMs, goneSinceMs, registration, attempts + 1, nextAttemptMs);
        }

        TrackedRouter withNextAttempt(long nextAttemptMs) {
            return new TrackedRouter(seenAtMs, goneSinceMs, registration, attempts, nextAttemptMs);
        }
    }

    /** Updates all incarnations from the VM list and the registered routers. */
    void observe(Set<VmName> vms, Collection<PeerState> peers, long nowMs) {
        Set<IncarnationId> registered = new HashSet<>();
        for (PeerState peer : peers) {
            Member member = peer.member();
            registered.add(member.incarnation());
            boolean silent = nowMs - peer.lastReplyMs() >= SILENCE_LIMIT_MS;
            boolean gone = silent && !vms.contains(member.vm());
            long seenAtMs = hasObserved ? nowMs : 0;
            routers.compute(
                    member.incarnation(),
                    (key, tracked) -> (tracked == null ? newRouter(seenAtMs) : tracked)
                            .withPresence(gone, nowMs, Optional.of(member)));
        }
        routers.replaceAll((incarnation, tracked) ->
                registered.contains(incarnation) ? tracked : tracked.withPresence(true, nowMs, Optional.empty()));
        hasObserved = true;
    }

    /** Adds a grant holder that a ledger names; has no effect on an incarnation that is tracked already. */
    void addHolder(IncarnationId incarnation, long nowMs) {
        routers.computeIfAbsent(incarnation, key -> newRouter(0).withPresence(true, nowMs, Optional.empty()));
    }

    /** Returns the incarnations that are gone. */
    List<IncarnationId> gone() {
        return routers.entrySet().stream()
                .filter(entry -> entry.getValue().isGone())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    Optional<TrackedRouter> find(IncarnationId incarnation) {
        return Optional.ofNullable(routers.get(incarnation));
    }

    /** Tells whether an incarnation is not gone; true for an incarnation that is not tracked. */
    boolean isPresent(IncarnationId incarnation) {
        return !find(incarnation).map(TrackedRouter::isGone).orElse(false);
    }

    void recordAttempt(IncarnationId incarnation, long nextAttemptMs) {
        routers.computeIfPresent(incarnation, (key, tracked) -> tracked.withAttempt(nextAttemptMs));
    }

    void postpone(IncarnationId incarnation, long nextAttemptMs) {
        routers.computeIfPresent(incarnation, (key, tracked) -> tracked.withNextAttempt(nextAttemptMs));
    }

    /**
     * Removes unregistered incarnations that have been gone since before a time, because other routers had time to
     * reclaim their grants.
     */
    void removeGoneBefore(long timeMs) {
        routers.values()
                .removeIf(tracked -> tracked.isGone()
                        && tracked.goneSinceMs() < timeMs
                        && tracked.registration().isEmpty());
    }

    /** Removes an incarnation that has no open ledger entry, unless it is still registered. */
    void removeSettled(IncarnationId incarnation) {
        routers.computeIfPresent(
                incarnation, (key, tracked) -> tracked.registration().isEmpty() ? null : tracked);
    }

    private static TrackedRouter newRouter(long seenAtMs) {
        return new TrackedRouter(seenAtMs, 0, Optional.empty(), 0, 0);
    }
}
