package io.jayhead.gateway.control;

/** Receives the state of prepaid budgets from the ledger; called on the control thread. */
public interface BudgetListener {

    /**
     * Receives the state of one budget in its ledger page.
     *
     * @param organisation the organisation that owns the budget
     * @param ownTokens the tokens taken by this router, less those returned
     * @param leftTokens the tokens of the budget that no router has taken
     * @param returnedTokens the tokens that this router has returned since its start; already deducted from {@code
     *     ownTokens}
     */
    void budgetRead(String organisation, long ownTokens, long leftTokens, long returnedTokens);

    /** Reports that a ledger page cannot be read or updated: a call failed, or the platform has not recovered yet. */
    void ledgerUnavailable();

    /**
     * Reports that a need required no change of the ledger: there were no tokens to take or to return.
     *
     * @param organisation the organisation
     */
    void budgetUnchanged(String organisation);
}
