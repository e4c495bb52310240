package io.jayhead.config.fleet;

import java.util.Comparator;

/**
 * Describes one difference between two fleets.
 *
 * @param section the section
 * @param name the name of the entry in the section
 * @param field the field that differs; empty if the whole entry was added or removed
 * @param type whether the entry or field was added, removed or changed
 * @param before the value before the change; empty if the entry or field was added
 * @param after the value after the change; empty if the entry or field was removed
 */
public record FleetChange(FleetSection section, String name, String field, Type type, String before, String after)
        implements Comparable<FleetChange> {

    /** Lists the types of differences. */
    public enum Type {
        /** The entry or field is new. */
        ADDED,
        /** The entry or field is gone. */
        REMOVED,
        /** The field has another value. */
        CHANGED
    }

    private static final Comparator<FleetChange> ORDER = Comparator.comparing(FleetChange::section)
            .thenComparing(FleetChange::name)
            .thenComparing(FleetChange::field)
            .thenComparing(FleetChange::type);

    @Override
    public int compareTo(FleetChange other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        String subject = section.key() + "/" + name + (field.isEmpty() ? "" : " " + field);
        return switch (type) {
            case ADDED -> subject + " added: " + after;
            case REMOVED -> subject + " removed: " + before;
            case CHANGED -> subject + " changed: " + before + " -> " + after;
        };
    }
}
