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

/**
 * Guards against a router that starts work with an old configuration version after a newer one was accepted.
 *
 * <p>This would happen if a router counted confirmations of another version, of an outdated member list or of a
 * restarted peer, or if a writer accepted its version too early.
 */
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
        FreshnessSimulation simulation = new FreshnessSimulation();
        for (Action action : actions) {
            run(simulation, action);
            simulation.updateAcceptance();
            simulation.trackers.forEach((name, tracker) -> assertTrue(
                    tracker.version() >= simulation.acceptedVersion
                            || !simulation.mustNotBeStale(name)
                            || !tracker.isFresh(simulation.nowMs, FreshnessSimulation.LIMIT_MS),
                    () -> name + " is fresh with " + tracker.version() + " after " + action));
        }
        Statistics.label("accepted")
                .collect(simulation.acceptedCount > 0)
                .coverage(checker -> checker.check(true).percentage(percentage -> percentage >= 5));
    }

    /** Lets vm-1 confirm the old version to vm-2 long after the write, and adopt the new version only then. */
    @Example
    void limitRunsFromTheAdoptionByAMajorityAndNotFromTheWrite() {
        FreshnessSimulation simulation = new FreshnessSimulation();
        simulation.write(FreshnessSimulation.vm(0));
        simulation.nowMs += FreshnessSimulation.LIMIT_MS;
        simulation.heartbeat(FreshnessSimulation.vm(2), FreshnessSimulation.vm(1), 0, true);
        simulation.relay(FreshnessSimulation.vm(0), FreshnessSimulation.vm(1));
        simulation.heartbeat(FreshnessSimulation.vm(0), FreshnessSimulation.vm(1), 0, true);
        simulation.updateAcceptance();
        assertTrue(simulation
                .trackers
                .get(FreshnessSimulation.vm(2))
                .isFresh(simulation.nowMs, FreshnessSimulation.LIMIT_MS));
        assertEquals(1, simulation.acceptedVersion);
    }

    /** Without this rule, a writer that was removed from the list could accept its version alone. */
    @Example
    void writerThatHasNotReadTheListSinceTheWriteAcceptsNothing() {
        MemberLists outdated = MemberLists.of(new MemberList(3, Set.of(FreshnessSimulation.vm(1))));
        FreshnessTracker tracker =
                FreshnessTracker.of(FreshnessSimulation.vm(1), outdated).adopted(2);
        Acceptance beforeListRead = Acceptance.of(2, 100).listRead(99).observed(tracker, 100);
        long lateMs = 100 + FreshnessSimulation.LIMIT_MS;
        assertFalse(beforeListRead.isAccepted(tracker, lateMs, FreshnessSimulation.LIMIT_MS));
        FreshnessTracker withNewerList =
                tracker.memberListChanged(new MemberList(5, Set.of(FreshnessSimulation.vm(2))));
        Acceptance afterListRead = beforeListRead.listRead(100).observed(withNewerList, lateMs);
        assertFalse(afterListRead.isAccepted(withNewerList, 2 * lateMs, FreshnessSimulation.LIMIT_MS));
    }

    @Example
    void replyOfAnotherVersionOrOfARestartedPeerDoesNotConfirm() {
        MemberLists threeMembers = MemberLists.of(new MemberList(
                1, Set.of(FreshnessSimulation.vm(0), FreshnessSimulation.vm(1), FreshnessSimulation.vm(2))));
        FreshnessTracker tracker =
                FreshnessTracker.of(FreshnessSimulation.vm(0), threeMembers).adopted(2);
        assertEquals(OptionalLong.empty(), replied(tracker, 3, 50).freshAsOfMs(100));
        assertEquals(OptionalLong.empty(), replied(tracker, 0, 50).freshAsOfMs(100));
        assertEquals(OptionalLong.of(50), replied(tracker, 2, 50).freshAsOfMs(100));
        assertEquals(
                OptionalLong.of(50), replied(replied(tracker, 2, 50), 0, 90).freshAsOfMs(100));
        assertEquals(OptionalLong.of(60), tracker.platformConfirmed(2, 60).freshAsOfMs(100));
        assertEquals(OptionalLong.empty(), tracker.platformConfirmed(3, 60).freshAsOfMs(100));
    }

    private static FreshnessTracker replied(FreshnessTracker tracker, long version, long sentAtMs) {
        return tracker.peerReplied(
                new PeerReply(FreshnessSimulation.vm(1), version, 1, sentAtMs, OptionalLong.empty()));
    }

    private static void run(FreshnessSimulation simulation, Action action) {
        var names = List.copyOf(simulation.trackers.keySet());
        var router = names.get(action.router() % names.size());
        var peer = names.get(action.peer() % names.size());
        switch (action.kind()) {
            case ADVANCE -> simulation.nowMs += action.timeMs();
            case READ_VERSION -> simulation.readVersion(router, action.timeMs() % 2 == 0);
            case READ_LIST -> simulation.readList(router);
            case SHARE_LISTS -> simulation.shareLists(router);
            case CHANGE_LIST -> simulation.changeList(FreshnessSimulation.vm(action.router()));
            case HEARTBEAT -> simulation.heartbeat(router, peer, action.timeMs() / 2, action.timeMs() % 4 != 0);
            case DELIVER -> simulation.deliver(action.timeMs());
            case RELAY -> simulation.relay(router, peer);
            case WRITE -> simulation.write(router);
            case RESTART -> simulation.start(router);
            default -> throw new IllegalStateException();
        }
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Kind> kinds = Arbitraries.frequency(Stream.of(Kind.values())
                .map(kind -> Tuple.of(kind.frequency, kind))
                .toList());
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 700))
                .as(Action::new)
                .list()
                .ofMinSize(200)
                .ofMaxSize(500);
    }
}
