package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.Map;

/**
 * The tokens that routers have taken from a group of budgets; an immutable value.
 *
 * @param takenTokens the tokens taken, by organisation and then by holder
 */
public record LedgerPage(Map<String, Map<String, Long>> takenTokens) {

    /** Copies the maps. */
    public LedgerPage {
        Map<String, Map<String, Long>> copy = new HashMap<>();
        takenTokens.forEach((organisation, holders) -> copy.put(organisation, Map.copyOf(holders)));
        takenTokens = Map.copyOf(copy);
    }

    /**
     * Returns a page without entries.
     *
     * @return the page
     */
    public static LedgerPage empty() {
        return new LedgerPage(Map.of());
    }

    /**
     * Returns what one holder has taken.
     *
     * @param organisation the organisation
     * @param holder the holder
     * @return the tokens
     */
    public long taken(String organisation, String holder) {
        return takenTokens.getOrDefault(organisation, Map.of()).getOrDefault(holder, 0L);
    }

    /**
     * Returns what all holders have taken.
     *
     * @param organisation the organisation
     * @return the tokens
     */
    public long takenByAll(String organisation) {
        return takenTokens.getOrDefault(organisation, Map.of()).values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    /**
     * Returns the number of holders of a budget.
     *
     * @param organisation the organisation
     * @return the number of holders with an entry
     */
    public int holders(String organisation) {
        return takenTokens.getOrDefault(organisation, Map.of()).size();
    }

    /**
     * Returns a page with one entry replaced.
     *
     * @param organisation the organisation
     * @param holder the holder
     * @param tokens what the holder has taken in total
     * @return the new page
     */
    public LedgerPage with(String organisation, String holder, long tokens) {
        Map<String, Map<String, Long>> pages = new HashMap<>(takenTokens);
        Map<String, Long> holders = new HashMap<>(pages.getOrDefault(organisation, Map.of()));
        holders.put(holder, tokens);
        pages.put(organisation, holders);
        return new LedgerPage(pages);
    }
}
