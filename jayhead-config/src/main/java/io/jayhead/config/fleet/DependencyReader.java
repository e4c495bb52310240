package io.jayhead.config.fleet;

import io.jayhead.config.yaml.YamlSection;
import io.jayhead.config.yaml.YamlValue;
import io.jayhead.model.fleet.Dependency;
import java.util.List;
import java.util.Optional;

/** Reads the dependencies of a service. */
final class DependencyReader {

    static final String SERVICE_PREFIX = "service/";

    private static final String MODEL_PREFIX = "model/";
    private static final String RULE = "model/NAME or service/NAME with a name of this fleet";

    private final FleetNames names;

    DependencyReader(FleetNames names) {
        this.names = names;
    }

    List<Dependency> read(YamlSection section) {
        List<YamlValue> values = section.items("depends_on");
        References.requireDistinct(values);
        return values.stream()
                .map(value -> value.text(RULE, this::parse))
                .flatMap(Optional::stream)
                .toList();
    }

    /** Tells whether a dependency names a model. Undeclared models count, as {@link #read} already reports them. */
    static boolean mentionsModel(YamlSection section) {
        return section.optional("depends_on").filter(YamlValue::isList).stream()
                .flatMap(value -> value.items().stream())
                .map(YamlValue::peek)
                .flatMap(Optional::stream)
                .anyMatch(text -> text.startsWith(MODEL_PREFIX));
    }

    private Optional<Dependency> parse(String text) {
        if (text.startsWith(MODEL_PREFIX)) {
            return Optional.of(text.substring(MODEL_PREFIX.length()))
                    .filter(names.models()::contains)
                    .map(name -> new Dependency(Dependency.Type.MODEL, name));
        }
        if (text.startsWith(SERVICE_PREFIX)) {
            return Optional.of(text.substring(SERVICE_PREFIX.length()))
                    .filter(names.services()::containsKey)
                    .map(name -> new Dependency(Dependency.Type.SERVICE, name));
        }
        return Optional.empty();
    }
}
