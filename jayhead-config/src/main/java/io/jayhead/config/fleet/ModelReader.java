package io.jayhead.config.fleet;

import io.jayhead.config.yaml.YamlSection;
import io.jayhead.model.fleet.ModelSpec;
import java.util.Optional;
import java.util.Set;

/** Reads the models of a fleet text. */
final class ModelReader {

    private static final Set<String> KEYS = Set.of("name", "weights", "adapter");
    private static final String WEIGHTS_RULE = "the name of weights of this fleet";
    private static final String ADAPTER_RULE = "the name of an adapter of this fleet";

    private final FleetNames names;
    private final ConfigProblems problems;

    ModelReader(FleetNames names, ConfigProblems problems) {
        this.names = names;
        this.problems = problems;
    }

    Optional<ModelSpec> read(NamedSection entry) {
        int countBefore = problems.count();
        YamlSection section = entry.section();
        section.allowOnly(KEYS);
        Optional<String> weights = section.required("weights", WEIGHTS_RULE)
                .flatMap(value -> References.read(value, names.weights(), WEIGHTS_RULE));
        Optional<String> adapter =
                section.optional("adapter").flatMap(value -> References.read(value, names.adapters(), ADAPTER_RULE));
        if (entry.name().isEmpty()) {
            return Optional.empty();
        }
        return problems.unlessReportedSince(
                countBefore, () -> new ModelSpec(entry.name().get(), weights.orElseThrow(), adapter));
    }
}
