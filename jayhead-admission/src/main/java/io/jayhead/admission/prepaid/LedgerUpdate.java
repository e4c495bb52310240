package io.jayhead.admission.prepaid;

import java.util.Map;

/**
 * A conditional update of a page.
 *
 * @param page the new content
 * @param baseRevision the revision that the page must still have
 * @param returnedTokens the returns that the update contains, by organisation
 */
public record LedgerUpdate(LedgerPage page, long baseRevision, Map<String, Long> returnedTokens) {

    /** Copies the map. */
    public LedgerUpdate {
        returnedTokens = Map.copyOf(returnedTokens);
    }
}
