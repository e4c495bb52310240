package io.jayhead.model;

/**
 * Identifies a budget within the fleet; the name of a budget is unique only within its organisation.
 *
 * @param organisation the organisation that prepaid the budget
 * @param budget the name of the budget within the organisation
 */
public record BudgetId(OrganisationName organisation, BudgetName budget) implements Comparable<BudgetId> {

    /**
     * Returns the identifier of a budget.
     *
     * @param organisation the organisation name, not blank
     * @param budget the budget name, not blank
     * @return the identifier
     * @throws IllegalArgumentException if a name is blank
     */
    public static BudgetId of(String organisation, String budget) {
        return new BudgetId(OrganisationName.of(organisation), BudgetName.of(budget));
    }

    /**
     * Returns the name of the platform object that holds the ledger of this budget.
     *
     * @return the names of the organisation and the budget, joined by a dot
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
