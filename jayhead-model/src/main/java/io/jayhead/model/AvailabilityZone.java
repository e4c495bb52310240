package io.jayhead.model;

/**
 * Identifies an availability zone.
 *
 * @param value the identifier, not blank
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    /** Checks that the identifier is not blank. */
    public AvailabilityZone {
        Checks.requireNotBlank(value, "AvailabilityZone");
    }

    /**
     * Returns the identifier for the given text.
     *
     * @param value the identifier, not blank
     * @return the identifier
     * @throws IllegalArgumentException if the text is blank
     */
    public static AvailabilityZone of(String value) {
        return new AvailabilityZone(value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
