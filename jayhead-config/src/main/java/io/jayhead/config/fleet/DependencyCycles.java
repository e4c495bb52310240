package io.jayhead.config.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds cycles in the dependencies between services, without recursion so that long chains cost no stack. */
final class DependencyCycles {

    private DependencyCycles() {}

    /** Returns one cycle of each group of services that depend on each other; the first name is repeated at the end. */
    static List<List<String>> find(Map<String, List<String>> dependencies) {
        Map<String, List<String>> open = new LinkedHashMap<>(dependencies);
        List<List<String>> cycles = new ArrayList<>();
        removeSatisfied(open);
        while (!open.isEmpty()) {
            List<String> cycle = walk(open);
            cycles.add(cycle);
            cycle.forEach(open::remove);
            removeSatisfied(open);
        }
        return cycles;
    }

    private static void removeSatisfied(Map<String, List<String>> open) {
        boolean removed = true;
        while (removed) {
            removed = open.values().removeIf(names -> names.stream().noneMatch(open::containsKey));
        }
    }

    private static List<String> walk(Map<String, List<String>> open) {
        Set<String> visited = new LinkedHashSet<>();
        String name = open.keySet().iterator().next();
        while (visited.add(name)) {
            name = open.get(name).stream().filter(open::containsKey).findFirst().orElseThrow();
        }
        List<String> path = new ArrayList<>(visited);
        List<String> cycle = new ArrayList<>(path.subList(path.indexOf(name), path.size()));
        cycle.add(name);
        return cycle;
    }
}
