package io.jayhead.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.scenarios.language.Command;
import io.jayhead.scenarios.language.NodeKind;
import io.jayhead.scenarios.language.Outcome;
import io.jayhead.scenarios.language.Scenario;
import io.jayhead.scenarios.language.ScenarioParser;
import io.jayhead.scenarios.language.ScenarioSyntaxException;
import java.nio.file.Path;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against scenarios that check less than their text says, because the parser misreads or skips a line or
 * because a file checks the outcome of no action.
 */
class ScenarioParserTest {

    private static final String HEADER = "scenario s\nguards: a failure\nfleet: platform, engine e1 az-2 fencing\n";

    @Test
    void readsTimesOptionsAndQuotedTexts() {
        Scenario scenario = ScenarioParser.parse(HEADER
                + "at 300 ms: generate g1 via r1 service plan key k-1 prompt \"a b\" max 20 stream\n"
                + "expect g1 verdict ran\n");
        assertEquals(NodeKind.ENGINE, scenario.nodes().get(1).kind());
        assertTrue(scenario.nodes().get(1).has("fencing"));
        assertEquals(OptionalLong.of(300), scenario.steps().get(0).atMs());
        assertEquals(
                new Command.Generate("g1", "r1", "plan", "shop-1", "k-1", "a b", 20, true),
                scenario.steps().get(0).command());
        assertEquals(
                new Command.ExpectOutcome("g1", new Outcome.HasVerdict("ran")),
                scenario.steps().get(1).command());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "explode r1",
                "kill r1 now",
                "at 5: kill r1",
                "expect g1 perfect",
                "expect bills k-1 about 1",
                "generate g1 via r1 service plan prompt \"a b\"",
                "sleep 5"
            })
    void rejectsLinesOutsideTheLanguage(String line) {
        ScenarioSyntaxException thrown =
                assertThrows(ScenarioSyntaxException.class, () -> ScenarioParser.parse(HEADER + line));
        assertTrue(thrown.getMessage().startsWith("line 4: "), thrown.getMessage());
    }

    @ParameterizedTest
    @MethodSource("io.jayhead.scenarios.ScenarioFiles#all")
    void everyFileIsInTheLanguageAndChecksSomething(Path file) {
        Scenario scenario = ScenarioFiles.parse(file);
        assertEquals(scenario.name() + ".scenario", file.getFileName().toString());
        assertTrue(scenario.steps().stream()
                .anyMatch(step -> step.command() instanceof Command.ExpectOutcome
                        || step.command() instanceof Command.ExpectOneAccepted));
    }
}
