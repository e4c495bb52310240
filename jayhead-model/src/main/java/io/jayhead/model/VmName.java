package io.jayhead.model;

/**
 * Identifies a VM that runs a router.
 *
 * @param value the identifier, not blank
 */
public record VmName(String value) implements Comparable<VmName> {

    /** Checks that the identifier is not blank. */
    public VmName {
        Checks.requireNotBlank(value, "VmName");
    }

    /**
     * Returns the identifier for the given text.
     *
     * @param value the identifier, not blank
     * @return the identifier
     * @throws IllegalArgumentException if the text is blank
     */
    public static VmName of(String value) {
        return new VmName(value);
    }

    @Override
    public int compareTo(VmName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
