package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Collects what the routers know of the ledger after the platform came back from an older copy; immutable.
 *
 * <p>The copy lacks what routers have taken since. Each router reports its own entries, which only it changes, so the
 * pages are exact once all routers have reported. An incarnation that does not report may have ended or be cut off:
 * everything that any router has read of it counts, and what it can have taken after that is written off.
 *
 * @param era the era in which reports count
 * @param byVm the newest report of each VM, also of earlier eras
 * @param heard the greatest entries of all reports, also of those that newer ones have replaced
 * @param copiedHolders the incarnation of each VM that announcements of earlier eras name, which this era began with
 */
public record FleetReports(
        long era, Map<String, LedgerReport> byVm, LedgerPage heard, Map<String, String> copiedHolders) {

    /** Copies the maps. */
    public FleetReports {
        byVm = Map.copyOf(byVm);
        copiedHolders = Map.copyOf(copiedHolders);
    }

    /**
     * Returns a collection without reports.
     *
     * @return the empty collection, for a platform whose era is unknown
     */
    public static FleetReports empty() {
        return new FleetReports(LedgerReport.NO_ERA, Map.of(), LedgerPage.empty(), Map.of());
    }

    /**
     * Begins a new era, in which all known routers must report again.
     *
     * @param newEra the new era
     * @return the new collection
     */
    public FleetReports inEra(long newEra) {
        return new FleetReports(newEra, byVm, heard, Map.of());
    }

    /**
     * Adds a report.
     *
     * @param vmName the VM of the router
     * @param report the report; one of an earlier era than a known report of the VM does not replace it
     * @return the new collection
     */
    public FleetReports with(String vmName, LedgerReport report) {
        LedgerPage nextHeard = heard.mergeGreatest(report.known());
        Map<String, String> nextCopied = new HashMap<>(copiedHolders);
        if (report.era() < era) {
            nextCopied.put(vmName, report.holder());
        }
        LedgerReport known = byVm.get(vmName);
        if (known != null && known.era() > report.era()) {
            return new FleetReports(era, byVm, nextHeard, nextCopied);
        }
        Map<String, LedgerReport> next = new HashMap<>(byVm);
        next.put(vmName, report);
        return new FleetReports(era, next, nextHeard, nextCopied);
    }

    /**
     * Returns the report of an incarnation, which keeps what its predecessor had reported through the platform.
     *
     * @param vmName the VM of the router
     * @param holder the name of the incarnation
     * @param ranS for how long the incarnation had run when the platform last answered before this era, in seconds; 0
     *     if it never did
     * @param earlier the continuity of the incarnation in the previous era
     * @param known the entries that the incarnation knows
     * @return the report
     */
    public LedgerReport reportOf(String vmName, String holder, double ranS, Continuity earlier, LedgerPage known) {
        LedgerPage predecessors = byVm.getOrDefault(vmName, LedgerReport.none()).known();
        Continuity continuity = era <= LedgerPages.FIRST_ERA
                ? Continuity.CONTINUOUS
                : Continuity.of(Optional.ofNullable(copiedHolders.get(vmName)), holder, ranS, earlier);
        return new LedgerReport(
                era, holder, continuity, predecessors.without(holder).mergeGreatest(known));
    }

    /**
     * Tells whether a router has reported in this era.
     *
     * @param vmName the VM of the router
     * @return true if its report is known
     */
    public boolean hasReported(String vmName) {
        return byVm.containsKey(vmName) && byVm.get(vmName).era() == era;
    }

    /**
     * Returns the routers that have not reported in this era.
     *
     * @return the names of their VMs, in order
     */
    public Set<String> missingVms() {
        Set<String> missing = new TreeSet<>(byVm.keySet());
        missing.removeIf(this::hasReported);
        return missing;
    }

    /**
     * Tells whether a router creates the pages of this era, so that none is missing if the platform goes back again.
     *
     * @param vmName the VM of the router
     * @return true for the first of the routers that have reported; false in the first era, which has lost nothing
     */
    public boolean createsPages(String vmName) {
        return era > LedgerPages.FIRST_ERA
                && hasReported(vmName)
                && byVm.keySet().stream().filter(this::hasReported).noneMatch(name -> name.compareTo(vmName) < 0);
    }

    /**
     * Tells whether no router of the fleet can be missing. A router that the copy does not name cannot know which other
     * routers there were, except in the first era.
     *
     * @param vmName the VM of the router that asks
     * @return true if this router and all others that it knows have reported
     */
    public boolean isComplete(String vmName) {
        if (!missingVms().isEmpty()) {
            return false;
        }
        return era <= LedgerPages.FIRST_ERA
                || hasReported(vmName) && byVm.get(vmName).continuity() != Continuity.NEW;
    }

    /**
     * Rebuilds the ledger from the copy and the reports.
     *
     * @param copy the pages that the platform came back with
     * @param prepaidTokens the sizes of the budgets, by organisation; those without a limit are left out
     * @return all entries that any router or the copy knows, and the amounts that are written off
     */
    public RebuiltLedger rebuild(LedgerPage copy, Map<String, Long> prepaidTokens) {
        return LedgerRebuild.of(this, copy).rebuild(prepaidTokens);
    }
}
