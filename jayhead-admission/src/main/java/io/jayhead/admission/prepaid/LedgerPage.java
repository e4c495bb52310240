package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.Map;

/**
 * The entries of routers for a group of budgets; an immutable value.
 *
 * @param entries the entries, by organisation and then by the name of the holder
 */
public record LedgerPage(Map<String, Map<String, LedgerEntry>> entries) {

    /** Copies the maps. */
    public LedgerPage {
        Map<String, Map<String, LedgerEntry>> copy = new HashMap<>();
        entries.forEach((organisation, holders) -> copy.put(organisation, Map.copyOf(holders)));
        entries = Map.copyOf(copy);
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
     * @param holder the name of the holder
     * @return the tokens
     */
    public long taken(String organisation, String holder) {
        return holders(organisation).getOrDefault(holder, LedgerEntry.NONE).takenTokens();
    }

    /**
     * Returns what all holders have taken.
     *
     * @param organisation the organisation
     * @return the tokens
     */
    public long takenByAll(String organisation) {
        return holders(organisation).values().stream()
                .mapToLong(LedgerEntry::takenTokens)
                .sum();
    }

    /**
     * Returns the demand of the other VMs, each by its newest incarnation.
     *
     * @param organisation the organisation
     * @param vmName the VM to leave out
     * @return the demand in tokens per second
     */
    public long demandOfOthers(String organisation, String vmName) {
        Map<String, Holder> newest = new HashMap<>();
        for (String name : holders(organisation).keySet()) {
            Holder holder = Holder.of(name);
            newest.merge(
                    holder.vmName(),
                    holder,
                    (one, other) -> one.startedAtEpochMs() >= other.startedAtEpochMs() ? one : other);
        }
        return newest.values().stream()
                .filter(holder -> !holder.vmName().equals(vmName))
                .mapToLong(holder -> holders(organisation)
                        .getOrDefault(holder.name(), LedgerEntry.NONE)
                        .tokensPerS())
                .sum();
    }

    /**
     * Returns a page with one entry replaced.
     *
     * @param organisation the organisation
     * @param holder the name of the holder
     * @param entry the new entry
     * @return the new page
     */
    public LedgerPage with(String organisation, String holder, LedgerEntry entry) {
        Map<String, Map<String, LedgerEntry>> pages = new HashMap<>(entries);
        Map<String, LedgerEntry> holders = new HashMap<>(holders(organisation));
        holders.put(holder, entry);
        pages.put(organisation, holders);
        return new LedgerPage(pages);
    }

    private Map<String, LedgerEntry> holders(String organisation) {
        return entries.getOrDefault(organisation, Map.of());
    }
}
