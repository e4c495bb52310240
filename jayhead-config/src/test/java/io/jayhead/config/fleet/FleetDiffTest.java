package io.jayhead.config.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.config.TestTexts;
import io.jayhead.model.fleet.FleetSpec;
import java.util.List;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against differences between fleets that an operator is not shown, or is shown although there are none. */
class FleetDiffTest {

    // Guards against a kind of change that is missing from the list that an operator sees before an apply.
    @Test
    void listsEachKindOfChangeWithOldAndNewValues() {
        Approvals.verify(FleetDiff.between(parse("fleet/valid.yaml"), parse("fleet/changed.yaml")).stream()
                .map(FleetChange::toString)
                .collect(Collectors.joining("\n")));
    }

    // Guards against changes reported between equal fleets whose maps iterate in different orders.
    @Test
    void findsNothingBetweenEqualFleets() {
        assertEquals(List.of(), FleetDiff.between(parse("fleet/valid.yaml"), parse("fleet/valid.yaml")));
    }

    private static FleetSpec parse(String name) {
        return FleetParser.parse(TestTexts.read(name)).get();
    }
}
