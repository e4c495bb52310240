package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Holds the entries of all routers for a group of budgets; immutable.
 *
 * @param entries the entries, by organisation and then by the name of the holder
 * @param unknownVms the VMs whose routers may have taken tokens of budgets without any entry, since the platform lost
 *     all trace of them
 */
public record LedgerPage(Map<String, Map<String, LedgerEntry>> entries, Set<String> unknownVms) {

    /** Copies the maps and the set. */
    public LedgerPage {
        unknownVms = Set.copyOf(unknownVms);
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
        return LedgerPage.of(Map.of());
    }

    /**
     * Returns a page with entries of known routers only.
     *
     * @param entries the entries, by organisation and then by the name of the holder
     * @return the page
     */
    public static LedgerPage of(Map<String, Map<String, LedgerEntry>> entries) {
        return new LedgerPage(entries, Set.of());
    }

    /**
     * Returns a page with more VMs of whose routers nothing is known.
     *
     * @param vmNames the VMs
     * @return the new page
     */
    public LedgerPage withUnknownVms(Set<String> vmNames) {
        Set<String> all = new HashSet<>(unknownVms);
        all.addAll(vmNames);
        return new LedgerPage(entries, all);
    }

    /**
     * Tells whether tokens of a budget may have been taken although it has no entry.
     *
     * @param organisation the organisation
     * @return true if that can be
     */
    public boolean isUnknown(String organisation) {
        return !unknownVms.isEmpty() && !entries.containsKey(organisation);
    }

    /**
     * Returns the tokens that one holder has taken.
     *
     * @param organisation the organisation
     * @param holder the name of the holder
     * @return the tokens, 0 if the holder has no entry
     */
    public long takenTokens(String organisation, String holder) {
        return entry(organisation, holder).takenTokens();
    }

    /**
     * Returns the tokens that all holders have taken, including earlier incarnations.
     *
     * @param organisation the organisation
     * @return the tokens
     */
    public long totalTakenTokens(String organisation) {
        return holders(organisation).values().stream()
                .mapToLong(LedgerEntry::takenTokens)
                .sum();
    }

    /**
     * Returns the demand of all other VMs. Only the newest incarnation of a VM counts, because the earlier ones have
     * ended.
     *
     * @param organisation the organisation
     * @param vmName the VM to exclude
     * @return the demand in tokens per second
     */
    public long otherVmsTokensPerS(String organisation, String vmName) {
        return otherVmsTokensPerS(organisation, vmName, name -> true);
    }

    /**
     * Returns the demand of some other VMs, as {@link #otherVmsTokensPerS(String, String)} does.
     *
     * @param organisation the organisation
     * @param vmName the VM to exclude
     * @param counts tells by the name of a VM whether its demand counts
     * @return the demand in tokens per second
     */
    public long otherVmsTokensPerS(String organisation, String vmName, Predicate<String> counts) {
        Map<String, Holder> newest = new HashMap<>();
        for (String name : holders(organisation).keySet()) {
            Holder holder = Holder.of(name);
            newest.merge(
                    holder.vmName(),
                    holder,
                    (first, second) -> first.startedAtEpochMs() >= second.startedAtEpochMs() ? first : second);
        }
        return newest.values().stream()
                .filter(holder -> !holder.vmName().equals(vmName) && counts.test(holder.vmName()))
                .mapToLong(holder -> holders(organisation)
                        .getOrDefault(holder.name(), LedgerEntry.NONE)
                        .tokensPerS())
                .sum();
    }

    /**
     * Returns a page with one entry added or replaced.
     *
     * @param organisation the organisation
     * @param holder the name of the holder
     * @param entry the new entry
     * @return the new page
     */
    public LedgerPage with(String organisation, String holder, LedgerEntry entry) {
        Map<String, Map<String, LedgerEntry>> organisations = new HashMap<>(entries);
        Map<String, LedgerEntry> holders = new HashMap<>(holders(organisation));
        holders.put(holder, entry);
        organisations.put(organisation, holders);
        return new LedgerPage(organisations, unknownVms);
    }

    /**
     * Returns the entry of one holder.
     *
     * @param organisation the organisation
     * @param holder the name of the holder
     * @return the entry; {@link LedgerEntry#NONE} if the holder has none
     */
    public LedgerEntry entry(String organisation, String holder) {
        return holders(organisation).getOrDefault(holder, LedgerEntry.NONE);
    }

    /**
     * Returns a page with the entries of two pages.
     *
     * @param other the other page
     * @return the new page; of two entries of one holder for one budget, it has the one with more tokens
     */
    public LedgerPage mergeGreatest(LedgerPage other) {
        Map<String, Map<String, LedgerEntry>> organisations = new HashMap<>();
        entries.forEach((organisation, holders) -> organisations.put(organisation, new HashMap<>(holders)));
        other.entries().forEach((organisation, holders) -> {
            Map<String, LedgerEntry> merged = organisations.computeIfAbsent(organisation, name -> new HashMap<>());
            holders.forEach((holder, entry) -> merged.merge(
                    holder, entry, (first, second) -> first.takenTokens() >= second.takenTokens() ? first : second));
        });
        return new LedgerPage(organisations, unknownVms).withUnknownVms(other.unknownVms);
    }

    /**
     * Returns the budgets of which a holder has taken tokens.
     *
     * @param holder the name of the holder
     * @return a page with all entries of these budgets
     */
    public LedgerPage heldBy(String holder) {
        Map<String, Map<String, LedgerEntry>> organisations = new HashMap<>(entries);
        organisations.values().removeIf(holders -> !holders.containsKey(holder));
        return new LedgerPage(organisations, unknownVms);
    }

    /**
     * Returns a page without the entries of one holder.
     *
     * @param holder the name of the holder
     * @return the new page
     */
    public LedgerPage without(String holder) {
        Map<String, Map<String, LedgerEntry>> organisations = new HashMap<>();
        entries.forEach((organisation, holders) -> {
            Map<String, LedgerEntry> others = new HashMap<>(holders);
            others.remove(holder);
            organisations.put(organisation, others);
        });
        return new LedgerPage(organisations, unknownVms);
    }

    private Map<String, LedgerEntry> holders(String organisation) {
        return entries.getOrDefault(organisation, Map.of());
    }
}
