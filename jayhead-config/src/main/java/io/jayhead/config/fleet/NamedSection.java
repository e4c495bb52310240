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
 * Pairs a section with its name.
 *
 * @param name the name, or empty if it is missing or malformed
 * @param section the section
 */
record NamedSection(Optional<String> name, YamlSection section) {

    /** Reads the sections of a list and reports missing and malformed names. */
    static List<NamedSection> list(
            YamlSection root, String key, String rule, Function<String, Optional<String>> parser) {
        return root.sections(key).stream()
                .map(section -> new NamedSection(
                        section.required("name", rule).flatMap(value -> value.text(rule, parser)), section))
                .toList();
    }

    /** Reports each name that is used twice. */
    static void requireUnique(List<NamedSection> sections) {
        Map<String, Integer> lines = new HashMap<>();
        for (NamedSection named : sections) {
            if (named.name.isEmpty()) {
                continue;
            }
            YamlValue value = named.section.optional("name").orElseThrow();
            Integer earlier = lines.putIfAbsent(named.name.get(), value.line());
            if (earlier != null) {
                value.reject("a unique name", "\"" + named.name.get() + "\", which line " + earlier + " uses");
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
