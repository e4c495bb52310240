package io.jayhead.config.settings;

import io.jayhead.config.fleet.ConfigProblem;
import io.jayhead.config.fleet.ConfigProblems;
import io.jayhead.config.yaml.YamlText;
import io.jayhead.model.Either;
import java.util.List;
import java.util.Optional;

/** Parses and validates the settings of a router daemon. */
public final class SettingsParser {

    private SettingsParser() {}

    /**
     * Parses the settings.
     *
     * @param yaml the text in YAML
     * @return the settings, or all problems found in the order of their lines
     */
    public static Either<List<ConfigProblem>, DaemonSettings> parse(String yaml) {
        ConfigProblems problems = new ConfigProblems();
        Optional<DaemonSettings> settings =
                YamlText.read(yaml, problems).flatMap(root -> new SettingsReader(root, problems).read());
        return problems.orElse(settings::orElseThrow);
    }
}
