package io.jayhead.scenarios.language;

import java.util.List;
import java.util.Optional;

/**
 * Describes one process of a scenario.
 *
 * @param kind what it runs
 * @param name its name in the scenario
 * @param zone its availability zone
 * @param options further words: the flag {@code fencing}, or an option name followed by its value
 */
public record Node(NodeKind kind, String name, String zone, List<String> options) {

    /** Copies the options. */
    public Node {
        options = List.copyOf(options);
    }

    /**
     * Tells whether a flag is present.
     *
     * @param flag the word
     * @return whether the options contain it
     */
    public boolean has(String flag) {
        return options.contains(flag);
    }

    /**
     * Returns the value of an option.
     *
     * @param option the word before the value
     * @return the value, or empty if the option is absent
     */
    public Optional<String> option(String option) {
        int index = options.indexOf(option);
        return index < 0 || index + 1 == options.size() ? Optional.empty() : Optional.of(options.get(index + 1));
    }
}
