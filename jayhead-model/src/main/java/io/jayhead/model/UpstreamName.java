package io.jayhead.model;

/**
 * Identifies an upstream.
 *
 * @param value the identifier, not blank
 */
public record UpstreamName(String value) implements Comparable<UpstreamName> {

    /** Checks that the identifier is not blank. */
    public UpstreamName {
        Checks.requireNotBlank(value, "UpstreamName");
    }

    /**
     * Returns the identifier for the given text.
     *
     * @param value the identifier, not blank
     * @return the identifier
     * @throws IllegalArgumentException if the text is blank
     */
    public static UpstreamName of(String value) {
        return new UpstreamName(value);
    }

    @Override
    public int compareTo(UpstreamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
