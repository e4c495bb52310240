package io.jayhead.gateway.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.admission.quarantine.EndTimes;
import io.jayhead.admission.quarantine.PartCrashes;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against reports of sound parts at each crash, and against silence about parts that end upstreams. */
class PartHistoryTest {

    private final PartHistory history = new PartHistory();

    @Test
    void theFirstEndUnderAPartThatWasNeverAnsweredIsReported() {
        assertEquals(
                Optional.of(new PartCrashes("p", 1, Set.of("e1"), new EndTimes(7, 7), Set.of())),
                history.crashed("p", 1, "e1", 7));
    }

    @Test
    void twoEndsSinceTheLastAnswerAreReportedTogether() {
        history.answered("p");
        assertEquals(Optional.empty(), history.crashed("p", 0, "e1", 7));
        assertEquals(
                Optional.of(new PartCrashes("p", 0, Set.of("e1", "e2"), new EndTimes(7, 9), Set.of())),
                history.crashed("p", 0, "e2", 9));
    }

    @Test
    void severalRequestsAtOneEndedUpstreamCountOnce() {
        history.answered("p");
        history.crashed("p", 0, "e1", 7);
        assertEquals(Optional.empty(), history.crashed("p", 0, "e1", 7));
    }

    @Test
    void anAnswerClearsTheEndsBeforeIt() {
        history.answered("p");
        history.crashed("p", 0, "e1", 7);
        history.answered("p");
        assertEquals(Optional.empty(), history.crashed("p", 0, "e2", 9));
    }
}
