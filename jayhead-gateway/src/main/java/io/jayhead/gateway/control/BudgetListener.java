package io.jayhead.gateway.control;

/** Receives the state of budgets; called on the control thread. */
public interface BudgetListener {

    /**
     * Receives what a page says of one budget.
     *
     * @param organisation the organisation
     * @param ownTokens what this router may spend in total
     * @param leftTokens what no router has taken
     * @param returnedTokens all that this router has given back since its start and that is left out of its own tokens
     */
    void budgetRead(String organisation, long ownTokens, long leftTokens, long returnedTokens);

    /** Reports that the platform did not answer a call for a ledger page. */
    void ledgerUnavailable();

    /**
     * Receives the answer to a need for which there was nothing to take or to give back.
     *
     * @param organisation the organisation
     */
    void budgetUnchanged(String organisation);
}
