package io.jayhead.config.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.config.TestTexts;
import io.jayhead.model.fleet.FleetSpec;
import java.util.List;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class FleetDiffTest {

    // Guards against a change that an operator applies without seeing it.
    @Test
    void listsEachKindOfChangeWithOldAndNewValues() {
        Approvals.verify(FleetDiff.between(parse("fleet/valid.yaml"), parse("fleet/changed.yaml")).stream()
                .map(FleetChange::toString)
                .collect(Collectors.joining("\n")));
    }

    // Guards against changes reported for the unordered maps of equal fleets.
    @Test
    void findsNothingBetweenEqualFleets() {
        assertEquals(List.of(), FleetDiff.between(parse("fleet/valid.yaml"), parse("fleet/valid.yaml")));
    }

    private static FleetSpec parse(String name) {
        return FleetParser.parse(TestTexts.read(name)).get();
    }
}
