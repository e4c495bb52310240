package io.jayhead.admission.freshness;

import io.jayhead.model.VmName;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks until when the configuration of a router is known to be current.
 *
 * <p>A confirmation counts only for the version it confirms. A member counts towards a majority only while neither
 * its version nor its member list is newer than this router's: a member that adopted a newer version may belong to
 * the majority that accepted it. A member without a version does not count, because it may have forgotten one.
 */
public final class FreshnessTracker {

    private final VmName self;
    private final long version;
    private final MemberLists members;
    private final Confirmation platform;
    private final Map<VmName, MemberReply> replies;

    private FreshnessTracker(
            VmName self, long version, MemberLists members, Confirmation platform, Map<VmName, MemberReply> replies) {
        this.self = self;
        this.version = version;
        this.members = members;
        this.platform = platform;
        this.replies = replies;
    }

    /**
     * Returns the tracker of a router that has adopted no version.
     *
     * @param self the router
     * @param members the member lists in force, read from the platform after the router registered
     * @return the tracker
     */
    public static FreshnessTracker of(VmName self, MemberLists members) {
        return new FreshnessTracker(self, 0, members, new Confirmation(0, Long.MIN_VALUE), Map.of());
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
    public MemberLists members() {
        return members;
    }

    /**
     * Records that the platform answered with a version.
     *
     * @param confirmedVersion the platform's current version
     * @param sentAtMs the time at which the request was sent
     * @return the new tracker
     */
    public FreshnessTracker platformConfirmed(long confirmedVersion, long sentAtMs) {
        Confirmation next = platform.latest(new Confirmation(confirmedVersion, sentAtMs));
        return new FreshnessTracker(self, version, members, next, replies);
    }

    /**
     * Records the reply of a peer.
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
        FreshnessTracker replied = new FreshnessTracker(self, version, members, platform, next).pruned();
        if (reply.platformAgeMs().isEmpty()) {
            return replied;
        }
        return replied.platformConfirmed(
                reply.version(), reply.sentAtMs() - reply.platformAgeMs().getAsLong());
    }

    /**
     * Records a change of the registered routers.
     *
     * @param list the newer list
     * @return the new tracker
     */
    public FreshnessTracker registeredChanged(MemberList list) {
        return new FreshnessTracker(self, version, members.with(list), platform, replies).pruned();
    }

    /**
     * Records the adoption of a version; one that is not higher changes nothing.
     *
     * @param adoptedVersion the version
     * @return the new tracker
     */
    public FreshnessTracker adopted(long adoptedVersion) {
        return adoptedVersion <= version
                ? this
                : new FreshnessTracker(self, adoptedVersion, members, platform, replies).pruned();
    }

    /**
     * Returns the latest time at which the adopted version was known to be current.
     *
     * @param nowMs the time, at which this router counts itself
     * @return the time, or empty if the version was never confirmed
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
     * @return true if the version was confirmed less than the limit ago
     */
    public boolean isFresh(long nowMs, long limitMs) {
        OptionalLong asOfMs = freshAsOfMs(nowMs);
        return asOfMs.isPresent() && nowMs - asOfMs.getAsLong() < limitMs;
    }

    /**
     * Returns the age of the platform's confirmation, to be told to peers.
     *
     * @param nowMs the time
     * @return the age, or empty if the platform did not confirm the adopted version
     */
    public OptionalLong platformAgeMs(long nowMs) {
        return platformAsOfMs() == Long.MIN_VALUE
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, nowMs - platformAsOfMs()));
    }

    /**
     * Tells whether a majority of every member list in force has adopted a version.
     *
     * <p>A member that holds a newer list does not count, because others may have dropped the lists in force here.
     *
     * @param adoptedVersion the version
     * @return true if it has
     */
    public boolean isAdoptedByMajority(long adoptedVersion) {
        Set<VmName> adopters = adopters(adoptedVersion);
        adopters.removeIf(router -> knownRevision(router) > members.newest().revision());
        return members.hasMajorityIn(adopters);
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
        return version > 0 && platform.version() == version ? platform.asOfMs() : Long.MIN_VALUE;
    }

    private long majorityAsOfMs(long nowMs) {
        Set<VmName> confirming = new HashSet<>(Set.of(self));
        if (members.hasMajorityIn(confirming)) {
            return nowMs;
        }
        for (Map.Entry<VmName, MemberReply> member : usableReplies()) {
            confirming.add(member.getKey());
            if (members.hasMajorityIn(confirming)) {
                return member.getValue().sentAtMs();
            }
        }
        return Long.MIN_VALUE;
    }

    private List<Map.Entry<VmName, MemberReply>> usableReplies() {
        return replies.entrySet().stream()
                .filter(member -> isUsable(member.getValue()))
                .sorted(Comparator.comparingLong((Map.Entry<VmName, MemberReply> member) ->
                        -member.getValue().sentAtMs()))
                .toList();
    }

    private boolean isUsable(MemberReply reply) {
        return reply.version() > 0
                && reply.version() <= version
                && reply.listRevision() <= members.newest().revision();
    }

    /** A member informs of a newer list only once this router has adopted the version that the member had. */
    private FreshnessTracker pruned() {
        MemberLists next = members.pruned(router -> isAhead(router) ? Long.MIN_VALUE : knownRevision(router));
        Map<VmName, MemberReply> known = new HashMap<>(replies);
        known.keySet()
                .removeIf(peer ->
                        next.lists().stream().noneMatch(list -> list.members().contains(peer)));
        return new FreshnessTracker(self, version, next, platform, known);
    }

    private boolean isAhead(VmName router) {
        return replies.containsKey(router) && replies.get(router).version() > version;
    }

    private long knownRevision(VmName router) {
        if (router.equals(self)) {
            return members.newest().revision();
        }
        MemberReply reply = replies.get(router);
        return reply == null ? Long.MIN_VALUE : reply.listRevision();
    }
}
