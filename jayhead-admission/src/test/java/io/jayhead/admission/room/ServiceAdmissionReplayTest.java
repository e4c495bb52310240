package io.jayhead.admission.room;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Guards against delays and refusals of urgent requests while less urgent ones take the room, and against starving the
 * less urgent, the large, or the organisations beside one that sends too much.
 */
class ServiceAdmissionReplayTest {

    @Test
    void inBurstsOfTwiceTheLoadTheMostUrgentAreServedFirst() {
        for (double load : new double[] {0.6, 0.8, 1.0}) {
            LoadReplay before = replay("fair queue", FairQueuePolicy::new, load, 2, false);
            LoadReplay after = replay("order by cost", CostOrderPolicy::new, load, 2, false);
            System.out.println();
        }
    }

    @Test
    void anOrganisationAtManyTimesItsUsualLoadPaysForItItself() {
        LoadReplay before = replay("fair queue", FairQueuePolicy::new, 0.7, 1, true);
        LoadReplay after = replay("order by cost", CostOrderPolicy::new, 0.7, 1, true);
        System.out.println(before.byOrganisationWhileHot);
        System.out.println(after.byOrganisationWhileHot);
    }

    @Test
    void nothingIsRefusedWithoutOverload() {
        LoadReplay after = replay("order by cost", CostOrderPolicy::new, 0.5, 1, false);
        after.byKind.values().forEach(counts -> assertEquals(0, counts.refused));
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
