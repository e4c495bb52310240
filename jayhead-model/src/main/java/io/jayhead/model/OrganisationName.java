package io.jayhead.model;

/**
 * Identifies an organisation.
 *
 * @param value the identifier, not blank
 */
public record OrganisationName(String value) implements Comparable<OrganisationName> {

    /** Checks that the identifier is not blank. */
    public OrganisationName {
        Checks.requireNotBlank(value, "OrganisationName");
    }

    /**
     * Returns the identifier for the given text.
     *
     * @param value the identifier, not blank
     * @return the identifier
     * @throws IllegalArgumentException if the text is blank
     */
    public static OrganisationName of(String value) {
        return new OrganisationName(value);
    }

    @Override
    public int compareTo(OrganisationName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
