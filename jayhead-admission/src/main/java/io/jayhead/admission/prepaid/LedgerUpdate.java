package io.jayhead.admission.prepaid;

import java.util.Map;

/**
 * Describes a conditional update of a ledger page.
 *
 * @param page the new content
 * @param baseRevision the revision that the stored page must still have, otherwise the update is refused
 * @param returnedTokens the tokens that the update returns, by organisation
 */
public record LedgerUpdate(LedgerPage page, long baseRevision, Map<String, Long> returnedTokens) {

    /** Copies the map. */
    public LedgerUpdate {
        returnedTokens = Map.copyOf(returnedTokens);
    }
}
