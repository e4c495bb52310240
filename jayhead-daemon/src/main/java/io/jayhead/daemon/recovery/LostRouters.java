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
 * Tracks which router incarnations are gone and since when; belongs to the control thread.
 *
 * <p>An incarnation is gone while it is not registered, or while its VM is missing from the VM list and it answers no
 * heartbeat. This only decides when a reclaim is tried.
 */
final class LostRouters {

    /** Four missed heartbeats at the default period. */
    private static final long SILENT_MS = 2_000;

    private final Map<IncarnationId, Tracked> routers = new HashMap<>();
    private boolean observed;

    /**
     * What is known of an incarnation.
     *
     * @param seenAtMs when it was first seen; 0 if it may have run before this router
     * @param goneSinceMs since when it is gone; 0 if it is not
     * @param registration its registration, while it has one
     * @param attempts how often its grants were reclaimed
     * @param nextAttemptMs when to try next
     */
    record Tracked(long seenAtMs, long goneSinceMs, Optional<Member> registration, int attempts, long nextAttemptMs) {

        boolean isGone() {
            return goneSinceMs > 0;
        }

        Tracked observed(boolean gone, long nowMs, Optional<Member> member) {
            if (!gone) {
                return new Tracked(seenAtMs, 0, member, 0, 0);
            }
            return new Tracked(seenAtMs, isGone() ? goneSinceMs : nowMs, member, attempts, nextAttemptMs);
        }

        Tracked attempted(long nextMs) {
            return new Tracked(seenAtMs, goneSinceMs, registration, attempts + 1, nextMs);
        }

        Tracked postponed(long nextMs) {
            return new Tracked(seenAtMs, goneSinceMs, registration, attempts, nextMs);
        }
    }

    /** Takes in the VM list and the registered routers. */
    void observe(Set<VmName> vms, Collection<PeerState> peers, long nowMs) {
        Set<IncarnationId> registered = new HashSet<>();
        for (PeerState peer : peers) {
            Member member = peer.member();
            registered.add(member.incarnation());
            boolean silent = nowMs - peer.lastReplyMs() >= SILENT_MS;
            boolean gone = silent && !vms.contains(member.vm());
            long seenAtMs = observed ? nowMs : 0;
            routers.compute(
                    member.incarnation(),
                    (key, known) ->
                            (known == null ? unseen(seenAtMs) : known).observed(gone, nowMs, Optional.of(member)));
        }
        routers.replaceAll((incarnation, tracked) ->
                registered.contains(incarnation) ? tracked : tracked.observed(true, nowMs, Optional.empty()));
        observed = true;
    }

    /** Adds a holder that only a ledger names. */
    void found(IncarnationId incarnation, long nowMs) {
        routers.computeIfAbsent(incarnation, key -> unseen(0).observed(true, nowMs, Optional.empty()));
    }

    /** Returns the incarnations that are gone. */
    List<IncarnationId> gone() {
        return routers.entrySet().stream()
                .filter(entry -> entry.getValue().isGone())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    Optional<Tracked> find(IncarnationId incarnation) {
        return Optional.ofNullable(routers.get(incarnation));
    }

    /** Tells whether an incarnation is not known to be gone. */
    boolean isPresent(IncarnationId incarnation) {
        return !find(incarnation).map(Tracked::isGone).orElse(false);
    }

    void attempted(IncarnationId incarnation, long nextMs) {
        routers.computeIfPresent(incarnation, (key, tracked) -> tracked.attempted(nextMs));
    }

    void postponed(IncarnationId incarnation, long nextMs) {
        routers.computeIfPresent(incarnation, (key, tracked) -> tracked.postponed(nextMs));
    }

    /** Forgets unregistered incarnations that other routers had time to reclaim. */
    void forgetGoneBefore(long timeMs) {
        routers.values()
                .removeIf(tracked -> tracked.isGone()
                        && tracked.goneSinceMs() < timeMs
                        && tracked.registration().isEmpty());
    }

    /** Forgets an unregistered incarnation that has no open entry. */
    void settled(IncarnationId incarnation) {
        routers.computeIfPresent(
                incarnation, (key, tracked) -> tracked.registration().isEmpty() ? null : tracked);
    }

    private static Tracked unseen(long seenAtMs) {
        return new Tracked(seenAtMs, 0, Optional.empty(), 0, 0);
    }
}
