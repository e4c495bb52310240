package io.jayhead.model;

/** Checks arguments, for the constructors of value types. */
public final class Checks {

    private Checks() {}

    /**
     * Requires a text that is neither null nor blank.
     *
     * @param value the text
     * @param name the name of the value, for the exception message
     * @return the text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public static String requireNotBlank(String value, String name) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
        return value;
    }

    /**
     * Requires a number of zero or more.
     *
     * @param value the number
     * @param name the name of the value, for the exception message
     * @return the number
     * @throws IllegalArgumentException if the number is negative
     */
    public static long requireNotNegative(long value, String name) {
        if (value < 0) {
            throw new IllegalArgumentException(name + " must not be negative: " + value);
        }
        return value;
    }
}
