package io.jayhead.model;

/**
 * Identifies one process start of a router; a restarted router has a new one.
 *
 * @param value the identifier, not blank
 */
public record IncarnationId(String value) implements Comparable<IncarnationId> {

    /** Checks the identifier. */
    public IncarnationId {
        Checks.requireNotBlank(value, "IncarnationId");
    }

    /**
     * Returns the identifier for the given text.
     *
     * @param value the identifier, not blank
     * @return the identifier
     * @throws IllegalArgumentException if the text is blank
     */
    public static IncarnationId of(String value) {
        return new IncarnationId(value);
    }

    @Override
    public int compareTo(IncarnationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
