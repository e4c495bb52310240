package io.jayhead.config.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.config.TestTexts;
import io.jayhead.config.yaml.YamlText;
import io.jayhead.model.BudgetId;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.ServiceName;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.IdempotencyKeySource;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against fleet texts that are misread, and against invalid texts that are accepted, are reported with a wrong
 * line or make the parser throw an exception.
 */
class FleetParserTest {

    // Guards against fields that are read from the wrong key or not read at all.
    @Test
    void readsTheExampleOfTheDesignPage() {
        FleetSpec spec = FleetParser.parse(TestTexts.read("fleet/valid.yaml")).get();
        var desk = spec.services().get(ServiceName.of("desk"));
        assertEquals(new IdempotencyKeySource.Pointer("/order"), desk.idempotencyKeySource());
        assertEquals(5, desk.priceTokens());
        assertEquals(64, spec.organisations().get(OrganisationName.of("shop-1")).maxInFlight());
        assertEquals(
                BudgetId.of("shop-1", "main"),
                spec.budgetFor(OrganisationName.of("shop-1"), ServiceName.of("plan"))
                        .orElseThrow()
                        .id());
    }

    // Guards against a parser that stops at the first problem, reports a problem twice or gives the wrong line.
    @Test
    void reportsAllProblemsOfAPageWithTheirLines() {
        Approvals.verify(
                render(FleetParser.parse(TestTexts.read("fleet/problems.yaml")).getLeft()));
    }

    // Guards against a malformed text that is reported with several problems, with none or with the wrong line.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "fleet: a\\nfleet: b|2|fleet",
                "fleet: a\\nweights: [a|2|text",
                "a: &a [x]\\nb: [*a, *a]|2|text",
                "a: &a\\n  b: *a|2|text",
                "fleet: a\\n---\\nfleet: b|2|text",
                "fleet: a\\nx: \\7|2|text",
                "- fleet|1|text",
                "''|1|text"
            })
    void givesOneProblemForATextThatIsNotOneMapping(String escaped, int line, String field) {
        String text = escaped.translateEscapes();
        List<ConfigProblem> problems = FleetParser.parse(text).getLeft();
        assertEquals(1, problems.size(), () -> render(problems));
        assertEquals(line, problems.get(0).line());
        assertEquals(field, problems.get(0).field());
        assertFalse(problems.get(0).toString().contains("found found"));
    }

    // Guards against a text that is accepted although the platform will reject it as too large.
    @Test
    void refusesATextLargerThanAPlatformObjectHolds() {
        String text = "fleet: a #" + "é".repeat(YamlText.MAX_BYTES / 2);
        assertEquals(
                "at most 900000 bytes", FleetParser.parse(text).getLeft().get(0).expected());
    }

    // Guards against a stack overflow in SnakeYAML's composer or in the search for dependency cycles.
    @Test
    void copesWithDeepNestingAndLongDependencyChains() {
        assertEquals(1, FleetParser.parse("a: " + "[".repeat(100_000)).getLeft().size());
        String chain = IntStream.range(0, 5000)
                .mapToObj(i -> "  - {name: s" + i + ", depends_on: [service/s" + (i + 1) % 5000 + "]}\n")
                .collect(Collectors.joining());
        List<ConfigProblem> problems = FleetParser.parse("services:\n" + chain).getLeft();
        assertEquals(
                1,
                problems.stream()
                        .filter(problem -> problem.expected().equals("no dependency cycle"))
                        .count());
    }

    // Guards against an exception that would fail an operator's request without naming the problem.
    @Property(tries = 500)
    void neverThrowsOnArbitraryText(@ForAll String text) {
        assertTrue(FleetParser.parse(text) != null);
    }

    // Guards against an exception on a text that is valid except for one character.
    @Property(tries = 500)
    void neverThrowsOnADamagedText(@ForAll int position, @ForAll char replacement) {
        StringBuilder text = new StringBuilder(TestTexts.read("fleet/valid.yaml"));
        text.setCharAt(Math.floorMod(position, text.length()), replacement);
        assertTrue(FleetParser.parse(text.toString()) != null);
    }

    private static String render(List<ConfigProblem> problems) {
        return problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n"));
    }
}
