package io.jayhead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.gateway.upstream.RoomEstimate.UpstreamRoom;
import io.jayhead.routing.placement.ExpectedWork;
import io.jayhead.routing.placement.PlacementCandidate;
import io.jayhead.routing.placement.ReportedLoad;
import io.jayhead.routing.registry.Upstream;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/**
 * Guards against reports that are counted wrongly: requests of this router twice, a moment's slowdown as the speed of
 * the upstream, or rates learned where the slowdown of the machines is not known.
 */
class UpstreamLoadTest {

    private static final long SECOND_NS = 1_000_000_000L;
    private static final long START_NS = 100 * SECOND_NS;
    private static final int SLOTS = 16;

    private final Upstream upstream = new Upstream("i", 0, "s", "127.0.0.1", 1, "z", false, 1);
    private final ServiceObservations service = new ServiceObservations();
    private final UpstreamLoad load = new UpstreamLoad(service);

    @Test
    void requestsOfThisRouterSinceTheReportAreAddedToIt() {
        load.started(0, 0, START_NS);
        load.loadReported(report(4, 1, OptionalDouble.of(1)), START_NS);
        load.started(0, 0, START_NS);
        load.started(0, 0, START_NS);
        UpstreamRoom room = load.room(upstream, START_NS);
        assertEquals(SLOTS, room.slots());
        assertEquals(6, room.running());
        assertEquals(1, room.waiting());
        assertEquals(4, load.candidate(upstream, true, START_NS).work().otherRequests());
        assertEquals(3, load.candidate(upstream, true, START_NS).work().inFlight());
    }

    @Test
    void aReportLosesWeightInTheRoom() {
        load.loadReported(report(4, 0, OptionalDouble.of(1)), START_NS);
        assertEquals(1, load.room(upstream, START_NS).weight());
        assertTrue(load.room(upstream, START_NS + 2 * SECOND_NS).weight() < 0.1);
    }

    @Test
    void anAnswerOfASlowMomentIsNoVerdictOnTheUpstream() {
        load.loadReported(report(1, 0, OptionalDouble.of(4)), START_NS);
        ExpectedWork work = load.expectedWork(upstream, START_NS);
        load.firstEvent(4 * work.firstEventMs(), work, START_NS);
        assertEquals(1, load.candidate(upstream, true, START_NS).slowness(), 1e-9);
        assertEquals(4, load.candidate(upstream, true, START_NS).slowdown(), 1e-9);
    }

    @Test
    void withoutReportsOfTheSlowdownNoRatesAreLearned() {
        load.loadReported(report(1, 0, OptionalDouble.empty()), START_NS);
        double defaultMs = service.rates().firstEventMs(5_000, 1);
        for (int answer = 0; answer < 50; answer++) {
            load.firstEvent(3 * defaultMs, new ExpectedWork(5_000, 1, defaultMs), START_NS + answer * SECOND_NS / 10);
        }
        assertEquals(defaultMs, service.rates().firstEventMs(5_000, 1));
        load.loadReported(report(1, 0, OptionalDouble.of(1)), START_NS + 6 * SECOND_NS);
        load.firstEvent(3 * defaultMs, new ExpectedWork(5_000, 1, defaultMs), START_NS + 6 * SECOND_NS);
        assertTrue(service.rates().firstEventMs(5_000, 1) > defaultMs);
    }

    @Test
    void requestsOfOtherRoutersAreTakenToBeAsLargeAsThoseOfThisOne() {
        load.started(0, 10_000, START_NS);
        load.started(0, 10_000, START_NS);
        load.loadReported(report(5, 0, OptionalDouble.of(1)), START_NS);
        PlacementCandidate candidate = load.candidate(upstream, true, START_NS);
        assertEquals(20_000, candidate.work().ownTokens());
        assertEquals(30_000, candidate.work().otherTokens(), 1e-6);
        load.ended(10_000);
        assertEquals(10_000, load.candidate(upstream, true, START_NS).work().ownTokens());
    }

    private static ReportedLoad report(int running, int waiting, OptionalDouble slowdown) {
        return new ReportedLoad(OptionalInt.of(running), OptionalInt.of(waiting), OptionalInt.of(SLOTS), slowdown);
    }
}
