package io.jayhead.admission.freshness;

import io.jayhead.model.VmName;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides when a written configuration version may be reported as accepted.
 *
 * <p>The freshness limit is how long a router may use a configuration after its last confirmation. It is counted from
 * the adoption by a majority and not from the write, because a member may confirm the old version to another router
 * just before it adopts the new one.
 *
 * @param version the written version
 * @param writtenAtMs the time at which the reply to the write arrived
 * @param majorityAtMs the time at which the writer learned that a majority has adopted the version, empty before
 * @param listReadAtMs the time at which the latest read of the member list was sent, empty if there was none
 */
public record Acceptance(long version, long writtenAtMs, OptionalLong majorityAtMs, OptionalLong listReadAtMs) {

    /**
     * Returns the acceptance of a version that was just written.
     *
     * @param version the version
     * @param writtenAtMs the time at which the reply to the write arrived
     * @return the acceptance
     */
    public static Acceptance of(long version, long writtenAtMs) {
        return new Acceptance(version, writtenAtMs, OptionalLong.empty(), OptionalLong.empty());
    }

    /**
     * Records when a majority is first known to have adopted the version, by a member list that was read after the
     * write; called after each change of the tracker.
     *
     * @param tracker the tracker of the writing router
     * @param nowMs the time
     * @return the new acceptance
     */
    public Acceptance observed(FreshnessTracker tracker, long nowMs) {
        if (majorityAtMs.isPresent() || !isListReadAfterWrite() || !tracker.isAdoptedByMajority(version)) {
            return this;
        }
        return new Acceptance(version, writtenAtMs, OptionalLong.of(nowMs), listReadAtMs);
    }

    /**
     * Records that the tracker received the member list from the platform.
     *
     * @param sentAtMs the time at which the read was sent
     * @return the new acceptance
     */
    public Acceptance listRead(long sentAtMs) {
        return new Acceptance(version, writtenAtMs, majorityAtMs, OptionalLong.of(sentAtMs));
    }

    /**
     * Tells whether every registered router uses the version or starts no new work.
     *
     * <p>This holds when the freshness limit has passed since a majority adopted the version, and earlier if every
     * member has adopted it. The early case relies on a member list that was read after the write, because a router
     * that registers later reads the new version. It also relies on routers leaving the list only after they have
     * stopped starting new work.
     *
     * @param tracker the tracker of the writing router
     * @param nowMs the time
     * @param limitMs the freshness limit
     * @return true if the version may be reported as accepted
     */
    public boolean isAccepted(FreshnessTracker tracker, long nowMs, long limitMs) {
        if (majorityAtMs.isEmpty()) {
            return false;
        }
        return nowMs - majorityAtMs.getAsLong() >= limitMs || isAdoptedByAll(tracker);
    }

    /**
     * Tells whether the member list was read after the write. Otherwise a writer that was removed, or that missed
     * changes of the list, would count a majority of an outdated list.
     */
    private boolean isListReadAfterWrite() {
        return listReadAtMs.isPresent() && listReadAtMs.getAsLong() >= writtenAtMs;
    }

    private boolean isAdoptedByAll(FreshnessTracker tracker) {
        Set<VmName> members = new HashSet<>();
        tracker.memberLists().lists().forEach(list -> members.addAll(list.members()));
        return tracker.adopters(version).containsAll(members);
    }
}
