package io.jayhead.scenarios;

import io.jayhead.scenarios.language.Scenario;
import io.jayhead.scenarios.language.ScenarioParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Finds and parses the scenario files in the test resources. */
final class ScenarioFiles {

    private ScenarioFiles() {}

    static Stream<Path> all() {
        try (Stream<Path> files =
                Files.list(Path.of(ScenarioFiles.class.getResource("/scenarios").toURI()))) {
            return files.filter(file -> file.toString().endsWith(".scenario")).sorted().toList().stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    static Scenario parse(Path file) {
        try {
            return ScenarioParser.parse(Files.readString(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
