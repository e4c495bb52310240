package io.jayhead.gateway.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.admission.quarantine.PartCrashes;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against reports of sound parts at each crash, and against silence about parts that end upstreams. */
class PartHistoryTest {

    private final PartHistory history = new PartHistory();

    @Test
    void theFirstEndUnderAPartThatWasNeverAnsweredIsReported() {
        assertEquals(Optional.of(new PartCrashes("p", 1, Set.of("e1"))), history.crashed("p", 1, "e1"));
    }

    @Test
    void twoEndsSinceTheLastAnswerAreReportedTogether() {
        history.answered("p");
        assertEquals(Optional.empty(), history.crashed("p", 0, "e1"));
        assertEquals(Optional.of(new PartCrashes("p", 0, Set.of("e1", "e2"))), history.crashed("p", 0, "e2"));
    }

    @Test
    void severalRequestsAtOneEndedUpstreamCountOnce() {
        history.answered("p");
        history.crashed("p", 0, "e1");
        assertEquals(Optional.empty(), history.crashed("p", 0, "e1"));
    }

    @Test
    void anAnswerClearsTheEndsBeforeIt() {
        history.answered("p");
        history.crashed("p", 0, "e1");
        history.answered("p");
        assertEquals(Optional.empty(), history.crashed("p", 0, "e2"));
    }
}
