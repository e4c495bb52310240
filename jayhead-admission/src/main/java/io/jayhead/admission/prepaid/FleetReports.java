package io.jayhead.admission.prepaid;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
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
 */
public record FleetReports(long era, Map<String, LedgerReport> byVm) {

    /** Copies the map. */
    public FleetReports {
        byVm = Map.copyOf(byVm);
    }

    /**
     * Returns a collection without reports.
     *
     * @return the empty collection, for a platform whose era is unknown
     */
    public static FleetReports empty() {
        return new FleetReports(LedgerReport.NO_ERA, Map.of());
    }

    /**
     * Begins a new era, in which all known routers must report again.
     *
     * @param newEra the new era
     * @return the new collection
     */
    public FleetReports inEra(long newEra) {
        return new FleetReports(newEra, byVm);
    }

    /**
     * Adds a report.
     *
     * @param vmName the VM of the router
     * @param report the report; one of an earlier era than a known report of the VM changes nothing
     * @return the new collection
     */
    public FleetReports with(String vmName, LedgerReport report) {
        LedgerReport known = byVm.get(vmName);
        if (known != null && known.era() > report.era()) {
            return this;
        }
        Map<String, LedgerReport> next = new HashMap<>(byVm);
        next.put(vmName, report);
        return new FleetReports(era, next);
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
     * Rebuilds the ledger from the copy and the reports.
     *
     * @param copy the pages that the platform came back with
     * @return all entries that any router or the copy knows, and the amounts that are written off
     */
    public RebuiltLedger rebuild(LedgerPage copy) {
        Map<String, LedgerReport> reporters = new HashMap<>();
        byVm.values().stream()
                .filter(report -> report.era() == era)
                .forEach(report -> reporters.put(report.holder(), report));
        LedgerPage known = copy;
        for (LedgerReport report : byVm.values()) {
            known = known.mergeGreatest(report.known());
        }
        Map<String, Long> aliveAtCopy = newestStarts(copy);
        LedgerPage rebuilt = LedgerPage.empty();
        long writtenOffTokens = 0;
        for (String organisation : known.entries().keySet()) {
            for (Map.Entry<String, LedgerEntry> found :
                    known.entries().get(organisation).entrySet()) {
                String holder = found.getKey();
                LedgerEntry entry = found.getValue();
                if (reporters.containsKey(holder)) {
                    entry = reporters.get(holder).known().entry(organisation, holder);
                } else if (mayHaveTakenMore(Holder.of(holder), aliveAtCopy)) {
                    long tokens = GrantRule.mostPrefetchedTokens(entry.tokensPerS());
                    writtenOffTokens += tokens;
                    entry = new LedgerEntry(entry.takenTokens() + tokens, 0);
                }
                rebuilt = rebuilt.with(organisation, holder, entry);
            }
        }
        return new RebuiltLedger(rebuilt, writtenOffTokens);
    }

    /** An incarnation whose VM had a newer one at the time of the copy ended before, so the copy has its last entry. */
    private static boolean mayHaveTakenMore(Holder holder, Map<String, Long> aliveAtCopy) {
        return holder.startedAtEpochMs() >= aliveAtCopy.getOrDefault(holder.vmName(), 0L);
    }

    private static Map<String, Long> newestStarts(LedgerPage page) {
        Map<String, Long> newest = new HashMap<>();
        Set<String> names = new HashSet<>();
        page.entries().values().stream()
                .map(Map::keySet)
                .forEach((Collection<String> holders) -> names.addAll(holders));
        for (String name : names) {
            Holder holder = Holder.of(name);
            newest.merge(holder.vmName(), holder.startedAtEpochMs(), Math::max);
        }
        return newest;
    }
}
