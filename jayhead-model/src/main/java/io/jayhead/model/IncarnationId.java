package io.jayhead.model;

/**
 * Identifies an incarnation of a router, which is one start of its process; a restarted router has a new identifier.
 *
 * @param value the identifier, not blank
 */
public record IncarnationId(String value) implements Comparable<IncarnationId> {

    /** Checks that the identifier is not blank. */
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
