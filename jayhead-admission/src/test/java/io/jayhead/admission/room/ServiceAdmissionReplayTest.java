package io.jayhead.admission.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Guards against delays and refusals of urgent requests while less urgent ones take the room, and against starving the
 * less urgent, the large, or the organisations beside one that sends too much.
 */
class ServiceAdmissionReplayTest {

    /** A kind may be served less often than a less urgent one by this share at most. */
    private static final double SERVED_MARGIN = 0.05;

    @Test
    void inBurstsOfTwiceTheLoadMoreUrgentRequestsAreInTimeThanWithAFairQueue() {
        for (double load : new double[] {0.6, 0.8, 1.0}) {
            LoadReplay before = replay("fair queue", FairQueuePolicy::new, load, 2, false);
            LoadReplay after = replay("order by cost", CostOrderPolicy::new, load, 2, false);
            KindCounts chatBefore = before.byKind.get(LoadKind.CHAT);
            KindCounts chatAfter = after.byKind.get(LoadKind.CHAT);
            assertTrue(chatAfter.inTime > chatBefore.inTime, load + ": " + chatAfter);
            assertTrue(chatAfter.refused < chatBefore.refused, load + ": " + chatAfter);
            assertTrue(refused(after) < refused(before), load + ": refused in all");
        }
    }

    @Test
    void noKindIsServedLessOftenThanALessUrgentOne() {
        for (double load : new double[] {0.6, 0.8, 1.0, 1.5, 2.0}) {
            LoadReplay after = replay("order by cost", CostOrderPolicy::new, load, 2, false);
            double chat = after.byKind.get(LoadKind.CHAT).served();
            double label = after.byKind.get(LoadKind.LABEL).served();
            double report = after.byKind.get(LoadKind.REPORT).served();
            assertTrue(chat > label - SERVED_MARGIN, load + ": chat " + chat + ", label " + label);
            assertTrue(label > report - SERVED_MARGIN, load + ": label " + label + ", report " + report);
        }
    }

    @Test
    void inALongOverloadNeitherTheLeastUrgentNorTheLargestAreStarved() {
        for (double load : new double[] {1.0, 1.5, 2.0}) {
            LoadReplay after = replay("order by cost", CostOrderPolicy::new, load, 2, false);
            double all = served(after);
            after.byKind.forEach((kind, counts) -> {
                assertTrue(counts.served() > all / 4, kind + ": " + counts);
                KindCounts large = after.largeByKind.get(kind);
                assertTrue(large.served() > counts.served() / 2, kind + ", large: " + large);
            });
        }
    }

    @Test
    void anOrganisationAtManyTimesItsUsualLoadPaysForItItself() {
        LoadReplay before = replay("fair queue", FairQueuePolicy::new, 0.9, 1, true);
        LoadReplay after = replay("order by cost", CostOrderPolicy::new, 0.9, 1, true);
        KindCounts hot = after.byOrganisationWhileHot.get(LoadReplay.HOT);
        assertTrue(othersInTime(after) > othersInTime(before));
        assertTrue(hot.inTimeShare() < othersInTime(after), "hot: " + hot);
        assertTrue(hot.served() > served(after) / 4, "hot: " + hot);
    }

    @Test
    void nothingIsTurnedAwayWithoutOverload() {
        LoadReplay after = replay("order by cost", CostOrderPolicy::new, 0.5, 1, false);
        after.byKind.values().forEach(counts -> assertEquals(counts.asked, counts.inTime));
    }

    private static int refused(LoadReplay replay) {
        return replay.byKind.values().stream()
                .mapToInt(counts -> counts.refused)
                .sum();
    }

    private static double served(LoadReplay replay) {
        int asked =
                replay.byKind.values().stream().mapToInt(counts -> counts.asked).sum();
        return 1 - refused(replay) / (double) asked;
    }

    /** Returns the share of the requests of all other organisations that are in time while one sends too much. */
    private static double othersInTime(LoadReplay replay) {
        double sum = 0;
        for (var entry : replay.byOrganisationWhileHot.entrySet()) {
            sum += entry.getKey().equals(LoadReplay.HOT) ? 0 : entry.getValue().inTimeShare();
        }
        return sum / (replay.byOrganisationWhileHot.size() - 1);
    }

    private static LoadReplay replay(
            String name, Supplier<RouterPolicy> policy, double load, double burst, boolean hot) {
        LoadReplay replay = new LoadReplay(policy, load, burst, hot).run();
        System.out.printf("%s, load %.1f%n", name, load);
        replay.byKind.forEach((kind, counts) -> System.out.printf("  %-6s %s%n", kind, counts));
        replay.largeByKind.forEach((kind, counts) -> System.out.printf("  %-6s large %s%n", kind, counts));
        return replay;
    }
}
