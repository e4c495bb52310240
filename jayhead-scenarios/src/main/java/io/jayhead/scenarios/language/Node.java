package io.jayhead.scenarios.language;

import java.util.List;
import java.util.Optional;

/**
 * Describes a process of a scenario.
 *
 * @param kind the kind of process
 * @param name its name in the scenario
 * @param availabilityZone the availability zone that it runs in
 * @param options the remaining words: the flag {@code fencing}, or option names each followed by a value
 */
public record Node(NodeKind kind, String name, String availabilityZone, List<String> options) {

    /** Copies the options. */
    public Node {
        options = List.copyOf(options);
    }

    /**
     * Tells whether a flag is present.
     *
     * @param flag the name of the flag
     * @return whether the options contain it
     */
    public boolean has(String flag) {
        return options.contains(flag);
    }

    /**
     * Returns the value of an option.
     *
     * @param option the name of the option
     * @return the word after the name, or empty if the option is absent
     */
    public Optional<String> option(String option) {
        int index = options.indexOf(option);
        return index < 0 || index + 1 == options.size() ? Optional.empty() : Optional.of(options.get(index + 1));
    }
}
