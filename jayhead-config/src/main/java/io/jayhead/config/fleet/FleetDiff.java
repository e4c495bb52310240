package io.jayhead.config.fleet;

import io.jayhead.config.fleet.FleetChange.Type;
import io.jayhead.model.fleet.FleetSpec;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Finds the differences between two fleets. */
public final class FleetDiff {

    private FleetDiff() {}

    /**
     * Returns the differences between two fleets.
     *
     * @param before the fleet before the change
     * @param after the fleet after the change
     * @return the changes, sorted by section, name and field
     */
    public static List<FleetChange> between(FleetSpec before, FleetSpec after) {
        return Stream.of(FleetSection.values())
                .flatMap(section -> changes(section, FleetFields.of(before, section), FleetFields.of(after, section)))
                .sorted()
                .toList();
    }

    private static Stream<FleetChange> changes(
            FleetSection section,
            SortedMap<String, SortedMap<String, String>> before,
            SortedMap<String, SortedMap<String, String>> after) {
        return union(before.keySet(), after.keySet())
                .flatMap(name -> entryChanges(section, name, before.get(name), after.get(name)));
    }

    private static Stream<FleetChange> entryChanges(
            FleetSection section, String name, SortedMap<String, String> before, SortedMap<String, String> after) {
        if (before == null) {
            return Stream.of(new FleetChange(section, name, "", Type.ADDED, "", render(after)));
        }
        if (after == null) {
            return Stream.of(new FleetChange(section, name, "", Type.REMOVED, render(before), ""));
        }
        return union(before.keySet(), after.keySet())
                .filter(field -> !Objects.equals(before.get(field), after.get(field)))
                .map(field -> fieldChange(section, name, field, before, after));
    }

    private static FleetChange fieldChange(
            FleetSection section,
            String name,
            String field,
            SortedMap<String, String> before,
            SortedMap<String, String> after) {
        if (!before.containsKey(field)) {
            return new FleetChange(section, name, field, Type.ADDED, "", after.get(field));
        }
        if (!after.containsKey(field)) {
            return new FleetChange(section, name, field, Type.REMOVED, before.get(field), "");
        }
        return new FleetChange(section, name, field, Type.CHANGED, before.get(field), after.get(field));
    }

    private static Stream<String> union(Set<String> first, Set<String> second) {
        Set<String> names = new TreeSet<>(first);
        names.addAll(second);
        return names.stream();
    }

    private static String render(SortedMap<String, String> fields) {
        return fields.entrySet().stream()
                .map(field -> field.getKey() + " " + field.getValue())
                .collect(Collectors.joining(", "));
    }
}
