package io.jayhead.admission.freshness;

import io.jayhead.model.VmName;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** Simulates several routers, the version and member lists of the platform, and delayed replies. */
final class FreshnessSimulation {

    static final long LIMIT_MS = 2_000;

    private record DelayedReply(VmName to, PeerReply reply) {}

    final TreeMap<VmName, FreshnessTracker> trackers = new TreeMap<>();
    long nowMs = 10_000;
    long acceptedVersion = 1;
    int acceptedCount;
    private long platformVersion = 1;
    private MemberLists platformLists = MemberLists.of(new MemberList(1, Set.of(vm(0), vm(1), vm(2))));
    private VmName writer;
    private Acceptance acceptance;
    private boolean acceptedEarly;
    private final List<DelayedReply> replies = new ArrayList<>();

    FreshnessSimulation() {
        platformLists.newest().members().forEach(this::start);
    }

    static VmName vm(int index) {
        return VmName.of("vm-" + index);
    }

    void start(VmName name) {
        trackers.put(
                name,
                FreshnessTracker.of(name, platformLists)
                        .adopted(platformVersion)
                        .platformConfirmed(platformVersion, nowMs));
    }

    void readVersion(VmName name, boolean adopts) {
        FreshnessTracker read = trackers.get(name).platformConfirmed(platformVersion, nowMs);
        trackers.put(name, adopts ? read.adopted(platformVersion) : read);
    }

    void readList(VmName name) {
        trackers.computeIfPresent(name, (key, tracker) -> tracker.memberListChanged(platformLists.newest()));
        if (name.equals(writer)) {
            acceptance = acceptance.listRead(nowMs);
        }
    }

    void shareLists(VmName name) {
        MemberLists lists = trackers.get(name).memberLists();
        if (lists.newest().equals(platformLists.newest())) {
            platformLists = lists;
        }
    }

    /** Removes a member, or adds one that reads the version and the lists after it registered. */
    void changeList(VmName name) {
        Set<VmName> members = new HashSet<>(platformLists.newest().members());
        boolean isAdded = !members.remove(name);
        if (isAdded) {
            members.add(name);
        }
        if (members.isEmpty()) {
            return;
        }
        platformLists = platformLists.with(new MemberList(platformLists.newest().revision() + 1, members));
        if (isAdded) {
            start(name);
        }
    }

    /** Lets a peer reply now to a heartbeat sent earlier. The reply arrives now or when it is delivered later. */
    void heartbeat(VmName from, VmName to, long delayMs, boolean arrives) {
        FreshnessTracker peer = trackers.get(to);
        long revision = peer.memberLists().newest().revision();
        replies.add(new DelayedReply(
                from, new PeerReply(to, peer.version(), revision, nowMs - delayMs, peer.platformAgeMs(nowMs))));
        if (arrives) {
            deliver(replies.size() - 1);
        }
    }

    void deliver(int index) {
        if (!replies.isEmpty()) {
            DelayedReply delayed = replies.get(index % replies.size());
            trackers.computeIfPresent(delayed.to(), (key, tracker) -> tracker.peerReplied(delayed.reply()));
        }
    }

    void relay(VmName from, VmName to) {
        long version = trackers.get(from).version();
        trackers.computeIfPresent(to, (key, tracker) -> tracker.adopted(version));
    }

    void write(VmName name) {
        if (writer == null) {
            writer = name;
            platformVersion++;
            acceptance = Acceptance.of(platformVersion, nowMs);
            readVersion(name, true);
        }
    }

    /**
     * Tells whether a router must not start work with an old version. If the version was accepted before the limit,
     * removed routers are exempt, because they have stopped starting work, see {@link Acceptance}.
     */
    boolean mustNotBeStale(VmName name) {
        return !acceptedEarly || platformLists.newest().members().contains(name);
    }

    void updateAcceptance() {
        if (writer == null) {
            return;
        }
        FreshnessTracker tracker = trackers.get(writer);
        acceptance = acceptance.observed(tracker, nowMs);
        if (acceptance.isAccepted(tracker, nowMs, LIMIT_MS)) {
            acceptedEarly = nowMs - acceptance.majorityAtMs().getAsLong() < LIMIT_MS;
            acceptedVersion = platformVersion;
            acceptedCount++;
            writer = null;
        }
    }
}
