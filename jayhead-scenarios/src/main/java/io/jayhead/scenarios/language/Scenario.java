package io.jayhead.scenarios.language;

import java.util.List;

/**
 * Holds a parsed scenario file.
 *
 * @param name its name
 * @param guards the failure that it guards against, printed if it fails
 * @param nodes the processes to start before the first step
 * @param steps the steps in the order of execution
 */
public record Scenario(String name, String guards, List<Node> nodes, List<Step> steps) {

    /** Copies the lists. */
    public Scenario {
        nodes = List.copyOf(nodes);
        steps = List.copyOf(steps);
    }
}
