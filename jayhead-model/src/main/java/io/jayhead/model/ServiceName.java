package io.jayhead.model;

/**
 * Identifies a service.
 *
 * @param value the identifier, not blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Checks that the identifier is not blank. */
    public ServiceName {
        Checks.requireNotBlank(value, "ServiceName");
    }

    /**
     * Returns the identifier for the given text.
     *
     * @param value the identifier, not blank
     * @return the identifier
     * @throws IllegalArgumentException if the text is blank
     */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
