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

/** Finds cycles in the dependencies between services. Uses no recursion, so a long chain cannot overflow the stack. */
final class DependencyCycles {

    /** The remaining services by name, with the remaining services that they depend on. */
    private final Map<String, Set<String>> dependencies = new LinkedHashMap<>();

    private final Map<String, List<String>> dependents = new HashMap<>();

    private DependencyCycles(Map<String, List<String>> allDependencies) {
        allDependencies.forEach((name, targets) -> {
            Set<String> declaredTargets = new LinkedHashSet<>(targets);
            declaredTargets.retainAll(allDependencies.keySet());
            dependencies.put(name, declaredTargets);
            declaredTargets.forEach(target ->
                    dependents.computeIfAbsent(target, key -> new ArrayList<>()).add(name));
        });
    }

    /** Returns one cycle for each group of services that depend on each other; its last name repeats the first. */
    static List<List<String>> find(Map<String, List<String>> dependencies) {
        DependencyCycles remaining = new DependencyCycles(dependencies);
        remaining.removeIndependent();
        return remaining.findAll();
    }

    private List<List<String>> findAll() {
        List<List<String>> cycles = new ArrayList<>();
        while (!dependencies.isEmpty()) {
            List<String> cycle = findCycle();
            cycles.add(cycle);
            remove(cycle);
        }
        return cycles;
    }

    private void removeIndependent() {
        remove(dependencies.entrySet().stream()
                .filter(entry -> entry.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .toList());
    }

    /** Removes services, then every service whose dependencies are all removed: each of the rest leads to a cycle. */
    private void remove(Collection<String> names) {
        Deque<String> pending = new ArrayDeque<>(names);
        while (!pending.isEmpty()) {
            String name = pending.remove();
            dependencies.remove(name);
            for (String dependent : dependents.getOrDefault(name, List.of())) {
                Set<String> targets = dependencies.get(dependent);
                if (targets != null && targets.remove(name) && targets.isEmpty()) {
                    pending.add(dependent);
                }
            }
        }
    }

    private List<String> findCycle() {
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
