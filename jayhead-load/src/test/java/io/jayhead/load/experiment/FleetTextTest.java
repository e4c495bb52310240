package io.jayhead.load.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.config.fleet.FleetParser;
import io.jayhead.load.plan.Mix;
import io.jayhead.model.fleet.FleetSpec;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class FleetTextTest {

    /** Guards against a generated fleet text that routers reject. */
    @ParameterizedTest
    @EnumSource(Mix.class)
    void theTextOfEachUserIsValid(Mix mix) {
        List<Integer> engines = IntStream.range(0, mix.engines())
                .mapToObj(index -> 9_100 + index)
                .toList();
        String text = new FleetText(mix).write(engines, List.of(9_201, 9_202, 9_203));
        FleetSpec fleet = FleetParser.parse(text)
                .fold(
                        problems -> {
                            throw new AssertionError(problems.toString());
                        },
                        spec -> spec);
        assertEquals(mix.engines() + 3, fleet.upstreams().size());
        assertEquals(3 + 2 * Mix.BOOKING_SERVICES, fleet.services().size());
        assertEquals(2 * mix.organisations().size(), fleet.budgets().size());
    }
}
