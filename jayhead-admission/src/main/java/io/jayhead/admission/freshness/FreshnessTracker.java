package io.jayhead.admission.freshness;

import io.jayhead.model.VmName;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks the latest time at which the configuration of a router was known to be current; immutable.
 *
 * <p>The platform or a majority of the members can confirm the version. A confirmation by the platform counts only for
 * the version that it names. A member counts towards a majority only while neither its version nor its member list is
 * newer than this router's, because a member with a newer version may belong to the majority that accepted that
 * version. A member without a version does not count, because it may have lost one in a restart.
 */
public final class FreshnessTracker {

    private final VmName self;
    private final long version;
    private final MemberLists memberLists;
    private final Confirmation platformConfirmation;
    private final Map<VmName, MemberReply> replies;

    private FreshnessTracker(
            VmName self,
            long version,
            MemberLists memberLists,
            Confirmation platformConfirmation,
            Map<VmName, MemberReply> replies) {
        this.self = self;
        this.version = version;
        this.memberLists = memberLists;
        this.platformConfirmation = platformConfirmation;
        this.replies = replies;
    }

    /**
     * Returns the tracker of a router that has adopted no version.
     *
     * @param self the router that owns the tracker
     * @param memberLists the member lists in force, read from the platform after the router registered
     * @return the tracker
     */
    public static FreshnessTracker of(VmName self, MemberLists memberLists) {
        return new FreshnessTracker(self, 0, memberLists, new Confirmation(0, Long.MIN_VALUE), Map.of());
    }

    /**
     * Returns the adopted version.
     *
     * @return the version, 0 if none
     */
    public long version() {
        return version;
    }

    /**
     * Returns the member lists in force.
     *
     * @return the lists
     */
    public MemberLists memberLists() {
        return memberLists;
    }

    /**
     * Records that the platform confirmed a version as current.
     *
     * @param confirmedVersion the current version of the platform
     * @param sentAtMs the time at which the request was sent, from which the confirmation counts
     * @return the new tracker
     */
    public FreshnessTracker platformConfirmed(long confirmedVersion, long sentAtMs) {
        Confirmation next = platformConfirmation.latest(new Confirmation(confirmedVersion, sentAtMs));
        return new FreshnessTracker(self, version, memberLists, next, replies);
    }

    /**
     * Records a heartbeat reply, and the platform's confirmation that it may contain.
     *
     * @param reply the reply
     * @return the new tracker
     */
    public FreshnessTracker peerReplied(PeerReply reply) {
        Map<VmName, MemberReply> next = new HashMap<>(replies);
        next.merge(
                reply.peer(),
                new MemberReply(reply.version(), reply.listRevision(), reply.sentAtMs()),
                MemberReply::latest);
        FreshnessTracker updated =
                new FreshnessTracker(self, version, memberLists, platformConfirmation, next).pruned();
        if (reply.platformAgeMs().isEmpty()) {
            return updated;
        }
        return updated.platformConfirmed(
                reply.version(), reply.sentAtMs() - reply.platformAgeMs().getAsLong());
    }

    /**
     * Records a change of the registered routers.
     *
     * @param list the newer list; an older one changes nothing
     * @return the new tracker
     */
    public FreshnessTracker memberListChanged(MemberList list) {
        return new FreshnessTracker(self, version, memberLists.with(list), platformConfirmation, replies).pruned();
    }

    /**
     * Records that this router adopted a version. A version that is not higher changes nothing.
     *
     * @param adoptedVersion the version
     * @return the new tracker
     */
    public FreshnessTracker adopted(long adoptedVersion) {
        return adoptedVersion <= version
                ? this
                : new FreshnessTracker(self, adoptedVersion, memberLists, platformConfirmation, replies).pruned();
    }

    /**
     * Returns the latest time at which the adopted version was known to be current.
     *
     * @param nowMs the current time, at which this router counts as a member that confirms its own version
     * @return the time in milliseconds, or empty if the adopted version was never confirmed
     */
    public OptionalLong freshAsOfMs(long nowMs) {
        if (version == 0) {
            return OptionalLong.empty();
        }
        long asOfMs = Math.max(platformAsOfMs(), majorityAsOfMs(nowMs));
        return asOfMs == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(Math.min(asOfMs, nowMs));
    }

    /**
     * Tells whether new work may start.
     *
     * @param nowMs the time
     * @param limitMs the freshness limit
     * @return true if the adopted version was confirmed less than the limit ago
     */
    public boolean isFresh(long nowMs, long limitMs) {
        OptionalLong asOfMs = freshAsOfMs(nowMs);
        return asOfMs.isPresent() && nowMs - asOfMs.getAsLong() < limitMs;
    }

    /**
     * Returns the age of the platform's confirmation, which heartbeat replies pass on to peers.
     *
     * @param nowMs the time
     * @return the age in milliseconds, or empty if the platform did not confirm the adopted version
     */
    public OptionalLong platformAgeMs(long nowMs) {
        return platformAsOfMs() == Long.MIN_VALUE
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, nowMs - platformAsOfMs()));
    }

    /**
     * Tells whether a majority of every member list in force has adopted a version.
     *
     * <p>A member that holds a newer list does not count, because other routers may already have dropped the lists that
     * are in force here.
     *
     * @param adoptedVersion the version
     * @return true if a majority of each list has adopted it or a higher version
     */
    public boolean isAdoptedByMajority(long adoptedVersion) {
        Set<VmName> adopters = adopters(adoptedVersion);
        adopters.removeIf(router -> knownRevision(router) > memberLists.newest().revision());
        return memberLists.hasMajorityIn(adopters);
    }

    /**
     * Returns the routers that are known to have adopted a version or a higher one.
     *
     * @param adoptedVersion the version
     * @return the routers
     */
    public Set<VmName> adopters(long adoptedVersion) {
        Set<VmName> adopters = new HashSet<>();
        replies.forEach((peer, reply) -> {
            if (reply.version() >= adoptedVersion) {
                adopters.add(peer);
            }
        });
        if (version >= adoptedVersion) {
            adopters.add(self);
        }
        return adopters;
    }

    private long platformAsOfMs() {
        return version > 0 && platformConfirmation.version() == version
                ? platformConfirmation.asOfMs()
                : Long.MIN_VALUE;
    }

    private long majorityAsOfMs(long nowMs) {
        return memberLists.lists().stream()
                .mapToLong(list -> majorityAsOfMs(list, nowMs))
                .min()
                .orElse(Long.MIN_VALUE);
    }

    /**
     * Returns the latest time such that a majority of the list confirmed the version at that time or later;
     * {@link Long#MIN_VALUE} without a majority.
     */
    private long majorityAsOfMs(MemberList list, long nowMs) {
        long[] confirmedMs = new long[list.members().size()];
        int count = 0;
        for (VmName member : list.members()) {
            MemberReply reply = replies.get(member);
            if (member.equals(self)) {
                confirmedMs[count++] = nowMs;
            } else if (reply != null && isUsable(reply)) {
                confirmedMs[count++] = Math.min(nowMs, reply.sentAtMs());
            }
        }
        if (count < list.majority()) {
            return Long.MIN_VALUE;
        }
        Arrays.sort(confirmedMs, 0, count);
        return confirmedMs[count - list.majority()];
    }

    private boolean isUsable(MemberReply reply) {
        return reply.version() > 0
                && reply.version() <= version
                && reply.listRevision() <= memberLists.newest().revision();
    }

    /**
     * Drops member lists that are no longer in force, and the replies of routers that are members of none.
     *
     * <p>A member counts as a holder of a newer list only once this router has adopted the version of that member, so
     * that no accepted version is lost when a list is dropped.
     */
    private FreshnessTracker pruned() {
        MemberLists next =
                memberLists.pruned(router -> hasNewerVersion(router) ? Long.MIN_VALUE : knownRevision(router));
        for (VmName peer : replies.keySet()) {
            if (!isMember(next, peer)) {
                Map<VmName, MemberReply> remainingReplies = new HashMap<>(replies);
                remainingReplies.keySet().removeIf(router -> !isMember(next, router));
                return new FreshnessTracker(self, version, next, platformConfirmation, remainingReplies);
            }
        }
        return new FreshnessTracker(self, version, next, platformConfirmation, replies);
    }

    private static boolean isMember(MemberLists lists, VmName router) {
        for (MemberList list : lists.lists()) {
            if (list.members().contains(router)) {
                return true;
            }
        }
        return false;
    }

    private boolean hasNewerVersion(VmName router) {
        return replies.containsKey(router) && replies.get(router).version() > version;
    }

    private long knownRevision(VmName router) {
        if (router.equals(self)) {
            return memberLists.newest().revision();
        }
        MemberReply reply = replies.get(router);
        return reply == null ? Long.MIN_VALUE : reply.listRevision();
    }
}
