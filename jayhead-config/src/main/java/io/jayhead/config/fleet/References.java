package io.jayhead.config.fleet;

import io.jayhead.config.yaml.YamlValue;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads references to names that the text declares. */
final class References {

    private References() {}

    /** Reads a reference to one of the known names. */
    static Optional<String> read(YamlValue value, Set<String> known, String expected) {
        return value.text(expected, text -> Optional.of(text).filter(known::contains));
    }

    /** Reads references to known names and reports repeated ones. */
    static List<String> readAll(List<YamlValue> values, Set<String> known, String expected) {
        List<String> names = values.stream()
                .map(value -> read(value, known, expected))
                .flatMap(Optional::stream)
                .toList();
        requireDistinct(values);
        return names;
    }

    /** Reports each text that a list repeats. */
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
