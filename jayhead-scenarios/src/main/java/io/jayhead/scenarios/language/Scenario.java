package io.jayhead.scenarios.language;

import java.util.List;

/**
 * Holds a parsed scenario.
 *
 * @param name its name
 * @param guards the failure that it guards against
 * @param nodes the processes that run from the start
 * @param steps the steps in the order of execution
 */
public record Scenario(String name, String guards, List<Node> nodes, List<Step> steps) {

    /** Copies the lists. */
    public Scenario {
        nodes = List.copyOf(nodes);
        steps = List.copyOf(steps);
    }
}
