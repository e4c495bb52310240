package io.jayhead.bench.cases;

import io.jayhead.admission.freshness.FreshnessTracker;
import io.jayhead.admission.freshness.MemberList;
import io.jayhead.admission.freshness.MemberLists;
import io.jayhead.admission.freshness.PeerReply;
import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Operation;
import io.jayhead.model.VmName;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Measures how a router tracks that its configuration is fresh. */
final class FreshnessCases {

    private static final Series PEERS = Series.of("peers", 6, 30, 100, 330);
    private static final long NOW_MS = 1_000_000;
    private static final long LIMIT_MS = 2_000;

    private FreshnessCases() {}

    static List<BenchCase> of() {
        return Stream.of(
                        PEERS.timed("freshness: peer replied", size -> replied(tracker(size), size)),
                        PEERS.timed("freshness: isFresh", size -> isFresh(tracker(size))),
                        PEERS.retained("freshness: state", FreshnessCases::tracker))
                .flatMap(cases -> cases)
                .toList();
    }

    private static Operation replied(FreshnessTracker tracker, int peers) {
        PeerReply reply = reply(peers / 2);
        return () -> tracker.peerReplied(reply);
    }

    private static Operation isFresh(FreshnessTracker tracker) {
        return () -> tracker.isFresh(NOW_MS, LIMIT_MS);
    }

    private static FreshnessTracker tracker(int peers) {
        MemberList members = new MemberList(
                1, IntStream.rangeClosed(0, peers).mapToObj(FreshnessCases::vm).collect(Collectors.toSet()));
        FreshnessTracker tracker =
                FreshnessTracker.of(vm(peers), MemberLists.of(members)).adopted(7);
        for (int peer = 0; peer < peers; peer++) {
            tracker = tracker.peerReplied(reply(peer));
        }
        return tracker;
    }

    private static PeerReply reply(int peer) {
        return new PeerReply(vm(peer), 7, 1, NOW_MS - peer, OptionalLong.of(300));
    }

    private static VmName vm(int index) {
        return VmName.of("vm-" + index);
    }
}
