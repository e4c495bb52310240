package io.jayhead.config.fleet;

import io.jayhead.config.yaml.YamlSection;
import io.jayhead.config.yaml.YamlValue;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Holds one entry of a list of the fleet text: a section and its name.
 *
 * @param name the name, or empty if it is missing or malformed
 * @param section the section
 */
record NamedSection(Optional<String> name, YamlSection section) {

    /** Reads the entries of a list and reports missing and malformed names. */
    static List<NamedSection> list(
            YamlSection root, String key, String rule, Function<String, Optional<String>> parser) {
        return root.sections(key).stream()
                .map(section -> new NamedSection(
                        section.required("name", rule).flatMap(value -> value.text(rule, parser)), section))
                .toList();
    }

    /** Reports every name that an earlier entry already uses. */
    static void requireUnique(List<NamedSection> sections) {
        Map<String, Integer> lines = new HashMap<>();
        for (NamedSection entry : sections) {
            if (entry.name.isEmpty()) {
                continue;
            }
            YamlValue value = entry.section.optional("name").orElseThrow();
            Integer earlierLine = lines.putIfAbsent(entry.name.get(), value.line());
            if (earlierLine != null) {
                value.reject("a unique name", "\"" + entry.name.get() + "\", which line " + earlierLine + " uses");
            }
        }
    }

    static Set<String> names(List<NamedSection> sections) {
        return sections.stream()
                .map(NamedSection::name)
                .flatMap(Optional::stream)
                .collect(Collectors.toUnmodifiableSet());
    }
}
