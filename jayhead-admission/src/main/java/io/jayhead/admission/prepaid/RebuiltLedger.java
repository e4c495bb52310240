package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds the ledger as rebuilt after the platform came back from an older copy.
 *
 * @param entries the entries of all budgets
 * @param writtenOffTokens the tokens that incarnations without a report may have taken unseen
 */
public record RebuiltLedger(LedgerPage entries, long writtenOffTokens) {

    /**
     * Returns the entries of one page.
     *
     * @param page the index of the page
     * @return the entries of the budgets on it
     */
    public LedgerPage page(int page) {
        Map<String, Map<String, LedgerEntry>> onPage = new HashMap<>(entries.entries());
        onPage.keySet().removeIf(organisation -> LedgerPages.indexOf(organisation) != page);
        return new LedgerPage(onPage, entries.unknownVms());
    }
}
