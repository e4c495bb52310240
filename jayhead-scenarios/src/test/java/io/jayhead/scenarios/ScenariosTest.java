package io.jayhead.scenarios;

import io.jayhead.scenarios.run.ScenarioRun;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Runs each scenario file on its own processes. Its line {@code guards:} names the failure that it guards against. */
@Execution(ExecutionMode.CONCURRENT)
class ScenariosTest {

    private static final Path OUTPUT = Path.of("target", "scenarios");

    @TestFactory
    Stream<DynamicTest> holds() {
        // The system property selects files by a part of their name, for manual runs.
        String selected = System.getProperty("scenario", "");
        return ScenarioFiles.all()
                .filter(file -> file.getFileName().toString().contains(selected))
                .map(file -> DynamicTest.dynamicTest(nameOf(file), file.toUri(), () -> run(file)));
    }

    private static void run(Path file) {
        ScenarioRun.run(ScenarioFiles.parse(file), OUTPUT.resolve(nameOf(file)));
    }

    private static String nameOf(Path file) {
        return file.getFileName().toString().replace(".scenario", "");
    }
}
