package io.jayhead.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.admission.prepaid.ReplicaChoice;
import org.junit.jupiter.api.Test;

/** Guards against tokens that only a router knows of which ends in the first seconds after its start. */
class RoutersPauseTest {

    @Test
    void aRouterThatKnowsFewerOthersThanItNeedsAsReplicasAsksForMoreSoon() {
        for (int others = 0; others < ReplicaChoice.REPLICAS; others++) {
            assertEquals(RoutersPause.SHORT_MS, RoutersPause.afterAnswerMs(1 + others, false));
        }
    }

    @Test
    void aRouterThatKnowsItsReplicasCollectsChanges() {
        assertEquals(RoutersPause.COLLECTING_MS, RoutersPause.afterAnswerMs(1 + ReplicaChoice.REPLICAS, false));
        assertEquals(RoutersPause.COLLECTING_MS, RoutersPause.afterAnswerMs(95, false));
    }

    @Test
    void reportsAreAwaitedWithAShortPauseInAFleetOfAnySize() {
        assertEquals(RoutersPause.SHORT_MS, RoutersPause.afterAnswerMs(95, true));
    }
}
