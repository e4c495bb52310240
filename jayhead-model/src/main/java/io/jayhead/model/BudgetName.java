package io.jayhead.model;

/**
 * Identifies a budget within its organisation.
 *
 * @param value the identifier, not blank
 */
public record BudgetName(String value) implements Comparable<BudgetName> {

    /** Checks that the identifier is not blank. */
    public BudgetName {
        Checks.requireNotBlank(value, "BudgetName");
    }

    /**
     * Returns the identifier for the given text.
     *
     * @param value the identifier, not blank
     * @return the identifier
     * @throws IllegalArgumentException if the text is blank
     */
    public static BudgetName of(String value) {
        return new BudgetName(value);
    }

    @Override
    public int compareTo(BudgetName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
