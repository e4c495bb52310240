package io.jayhead.admission.freshness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;
import net.jqwik.api.statistics.StatisticsReport;

/** Guards P8: no router takes work with an older version once a newer one is accepted. */
class FreshnessPropertyTest {

    private record Action(Kind kind, int router, int peer, int timeMs) {}

    private enum Kind {
        ADVANCE(8),
        READ_VERSION(1),
        READ_LIST(2),
        SHARE_LISTS(1),
        CHANGE_LIST(1),
        HEARTBEAT(25),
        DELIVER(5),
        RELAY(2),
        WRITE(2),
        RESTART(1);

        final int frequency;

        Kind(int frequency) {
            this.frequency = frequency;
        }
    }

    @Property(tries = 3000)
    @StatisticsReport(onFailureOnly = true)
    void noRouterIsFreshWithAVersionOlderThanTheAcceptedOne(@ForAll("actions") List<Action> actions) {
        FreshnessWorld world = new FreshnessWorld();
        for (Action action : actions) {
            run(world, action);
            world.accept();
            world.trackers.forEach((name, tracker) -> assertTrue(
                    tracker.version() >= world.acceptedVersion
                            || !world.mustNotBeStale(name)
                            || !tracker.isFresh(world.nowMs, FreshnessWorld.LIMIT_MS),
                    () -> name + " is fresh with " + tracker.version() + " after " + action));
        }
        Statistics.label("accepted")
                .collect(world.accepted > 0)
                .coverage(checker -> checker.check(true).percentage(percentage -> percentage >= 5));
    }

    /** Member vm-1 confirms the old version to vm-2 long after the write and then adopts the new one. */
    @Example
    void limitRunsFromTheAdoptionByAMajorityAndNotFromTheWrite() {
        FreshnessWorld world = new FreshnessWorld();
        world.write(FreshnessWorld.vm(0));
        world.nowMs += FreshnessWorld.LIMIT_MS;
        world.heartbeat(FreshnessWorld.vm(2), FreshnessWorld.vm(1), 0, true);
        world.relay(FreshnessWorld.vm(0), FreshnessWorld.vm(1));
        world.heartbeat(FreshnessWorld.vm(0), FreshnessWorld.vm(1), 0, true);
        world.accept();
        assertTrue(world.trackers.get(FreshnessWorld.vm(2)).isFresh(world.nowMs, FreshnessWorld.LIMIT_MS));
        assertEquals(1, world.acceptedVersion);
    }

    /** A writer that was removed from the list would otherwise accept its version alone. */
    @Example
    void writerThatHasNotReadTheListSinceTheWriteAcceptsNothing() {
        MemberLists outdated = MemberLists.of(new MemberList(3, Set.of(FreshnessWorld.vm(1))));
        FreshnessTracker tracker =
                FreshnessTracker.of(FreshnessWorld.vm(1), outdated).adopted(2);
        Acceptance unread = Acceptance.of(2, 100).listRead(99).observed(tracker, 100);
        long lateMs = 100 + FreshnessWorld.LIMIT_MS;
        assertFalse(unread.isAccepted(tracker, lateMs, FreshnessWorld.LIMIT_MS));
        FreshnessTracker informed = tracker.registeredChanged(new MemberList(5, Set.of(FreshnessWorld.vm(2))));
        Acceptance read = unread.listRead(100).observed(informed, lateMs);
        assertFalse(read.isAccepted(informed, 2 * lateMs, FreshnessWorld.LIMIT_MS));
    }

    @Example
    void replyOfAnotherVersionOrOfARestartedPeerDoesNotConfirm() {
        MemberLists three = MemberLists.of(
                new MemberList(1, Set.of(FreshnessWorld.vm(0), FreshnessWorld.vm(1), FreshnessWorld.vm(2))));
        FreshnessTracker tracker =
                FreshnessTracker.of(FreshnessWorld.vm(0), three).adopted(2);
        assertEquals(OptionalLong.empty(), replied(tracker, 3, 50).freshAsOfMs(100));
        assertEquals(OptionalLong.empty(), replied(tracker, 0, 50).freshAsOfMs(100));
        assertEquals(OptionalLong.of(50), replied(tracker, 2, 50).freshAsOfMs(100));
        assertEquals(
                OptionalLong.of(50), replied(replied(tracker, 2, 50), 0, 90).freshAsOfMs(100));
        assertEquals(OptionalLong.of(60), tracker.platformConfirmed(2, 60).freshAsOfMs(100));
        assertEquals(OptionalLong.empty(), tracker.platformConfirmed(3, 60).freshAsOfMs(100));
    }

    private static FreshnessTracker replied(FreshnessTracker tracker, long version, long sentAtMs) {
        return tracker.peerReplied(new PeerReply(FreshnessWorld.vm(1), version, 1, sentAtMs, OptionalLong.empty()));
    }

    private static void run(FreshnessWorld world, Action action) {
        var names = List.copyOf(world.trackers.keySet());
        var router = names.get(action.router() % names.size());
        var peer = names.get(action.peer() % names.size());
        switch (action.kind()) {
            case ADVANCE -> world.nowMs += action.timeMs();
            case READ_VERSION -> world.readVersion(router, action.timeMs() % 2 == 0);
            case READ_LIST -> world.readList(router);
            case SHARE_LISTS -> world.shareLists(router);
            case CHANGE_LIST -> world.changeList(FreshnessWorld.vm(action.router()));
            case HEARTBEAT -> world.heartbeat(router, peer, action.timeMs() / 2, action.timeMs() % 4 != 0);
            case DELIVER -> world.deliver(action.timeMs());
            case RELAY -> world.relay(router, peer);
            case WRITE -> world.write(router);
            case RESTART -> world.start(router);
            default -> throw new IllegalStateException();
        }
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Kind> kind = Arbitraries.frequency(Stream.of(Kind.values())
                .map(each -> Tuple.of(each.frequency, each))
                .toList());
        return Combinators.combine(
                        kind,
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 700))
                .as(Action::new)
                .list()
                .ofMinSize(200)
                .ofMaxSize(500);
    }
}
