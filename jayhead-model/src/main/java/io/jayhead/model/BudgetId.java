package io.jayhead.model;

/**
 * Identifies a budget within the fleet.
 *
 * @param organisation the organisation that paid the budget
 * @param budget the name of the budget within the organisation
 */
public record BudgetId(OrganisationName organisation, BudgetName budget) implements Comparable<BudgetId> {

    /**
     * Returns the identifier of a budget.
     *
     * @param organisation the organisation name
     * @param budget the budget name
     * @return the identifier
     */
    public static BudgetId of(String organisation, String budget) {
        return new BudgetId(OrganisationName.of(organisation), BudgetName.of(budget));
    }

    /**
     * Returns the name of the platform object that holds the ledger of this budget.
     *
     * @return the object name
     */
    public String objectName() {
        return organisation.value() + "." + budget.value();
    }

    @Override
    public int compareTo(BudgetId other) {
        return objectName().compareTo(other.objectName());
    }

    @Override
    public String toString() {
        return objectName();
    }
}
