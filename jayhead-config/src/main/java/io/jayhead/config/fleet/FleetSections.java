package io.jayhead.config.fleet;

import io.jayhead.config.yaml.Formats;
import io.jayhead.config.yaml.YamlSection;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Holds the entries of a fleet text, list by list.
 *
 * @param weights the weights
 * @param adapters the adapters
 * @param models the models
 * @param upstreams the upstreams
 * @param services the services
 * @param organisations the organisations
 * @param budgets the budgets, whose names are unique within an organisation only
 */
record FleetSections(
        List<NamedSection> weights,
        List<NamedSection> adapters,
        List<NamedSection> models,
        List<NamedSection> upstreams,
        List<NamedSection> services,
        List<NamedSection> organisations,
        List<NamedSection> budgets) {

    private static final Set<String> KEYS =
            Set.of("fleet", "weights", "adapters", "models", "upstreams", "services", "organisations", "budgets");

    static FleetSections of(YamlSection root) {
        root.allowOnly(KEYS);
        FleetSections sections = new FleetSections(
                artifactSections(root, "weights"),
                artifactSections(root, "adapters"),
                artifactSections(root, "models"),
                namedSections(root, "upstreams"),
                namedSections(root, "services"),
                namedSections(root, "organisations"),
                namedSections(root, "budgets"));
        Stream.concat(sections.weights.stream(), sections.adapters.stream())
                .forEach(entry -> entry.section().allowOnly(Set.of("name")));
        Stream.of(
                        sections.weights,
                        sections.adapters,
                        sections.models,
                        sections.upstreams,
                        sections.services,
                        sections.organisations)
                .forEach(NamedSection::requireUnique);
        return sections;
    }

    private static List<NamedSection> artifactSections(YamlSection root, String key) {
        return NamedSection.list(root, key, Formats.ARTIFACT_RULE, Formats::artifactName);
    }

    private static List<NamedSection> namedSections(YamlSection root, String key) {
        return NamedSection.list(root, key, Formats.NAME_RULE, Formats::name);
    }
}
