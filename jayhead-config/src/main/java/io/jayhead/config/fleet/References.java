package io.jayhead.config.fleet;

import io.jayhead.config.yaml.YamlValue;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads references to names that the fleet text declares. */
final class References {

    private References() {}

    /** Reads a reference to a declared name and reports any other value. */
    static Optional<String> read(YamlValue value, Set<String> declaredNames, String expected) {
        return value.text(expected, text -> Optional.of(text).filter(declaredNames::contains));
    }

    /** Reads references to declared names, and reports other values and repeated references. */
    static List<String> readAll(List<YamlValue> values, Set<String> declaredNames, String expected) {
        List<String> names = values.stream()
                .map(value -> read(value, declaredNames, expected))
                .flatMap(Optional::stream)
                .toList();
        requireDistinct(values);
        return names;
    }

    /** Reports every entry that repeats an earlier one. */
    static void requireDistinct(List<YamlValue> values) {
        Set<String> seen = new HashSet<>();
        for (YamlValue value : values) {
            Optional<String> text = value.peek();
            if (text.isPresent() && !seen.add(text.get())) {
                value.reject("each entry once", "\"" + text.get() + "\" again");
            }
        }
    }
}
