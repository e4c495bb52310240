package io.jayhead.config.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds cycles in the dependencies between services, without recursion so that long chains cost no stack. */
final class DependencyCycles {

    /** The names that each remaining name depends on and that remain themselves. */
    private final Map<String, Set<String>> dependencies = new LinkedHashMap<>();

    private final Map<String, List<String>> dependents = new HashMap<>();

    private DependencyCycles(Map<String, List<String>> all) {
        all.forEach((name, targets) -> {
            Set<String> known = new LinkedHashSet<>(targets);
            known.retainAll(all.keySet());
            dependencies.put(name, known);
            known.forEach(target ->
                    dependents.computeIfAbsent(target, key -> new ArrayList<>()).add(name));
        });
    }

    /** Returns one cycle of each group of services that depend on each other; the first name is repeated at the end. */
    static List<List<String>> find(Map<String, List<String>> dependencies) {
        DependencyCycles remaining = new DependencyCycles(dependencies);
        remaining.removeSatisfied();
        return remaining.findAll();
    }

    private List<List<String>> findAll() {
        List<List<String>> cycles = new ArrayList<>();
        while (!dependencies.isEmpty()) {
            List<String> cycle = walk();
            cycles.add(cycle);
            remove(cycle);
        }
        return cycles;
    }

    private void removeSatisfied() {
        remove(dependencies.entrySet().stream()
                .filter(entry -> entry.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .toList());
    }

    /** Removes names and each name whose dependencies are all removed, so that the rest leads to a cycle. */
    private void remove(Collection<String> names) {
        Deque<String> open = new ArrayDeque<>(names);
        while (!open.isEmpty()) {
            String name = open.remove();
            dependencies.remove(name);
            for (String dependent : dependents.getOrDefault(name, List.of())) {
                Set<String> targets = dependencies.get(dependent);
                if (targets != null && targets.remove(name) && targets.isEmpty()) {
                    open.add(dependent);
                }
            }
        }
    }

    private List<String> walk() {
        Set<String> visited = new LinkedHashSet<>();
        String name = dependencies.keySet().iterator().next();
        while (visited.add(name)) {
            name = dependencies.get(name).iterator().next();
        }
        List<String> path = new ArrayList<>(visited);
        List<String> cycle = new ArrayList<>(path.subList(path.indexOf(name), path.size()));
        cycle.add(name);
        return cycle;
    }
}
