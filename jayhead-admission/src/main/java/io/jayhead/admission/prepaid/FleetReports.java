package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

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
 */
public record FleetReports(long era, Map<String, LedgerReport> byVm, LedgerPage heard) {

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
        return new FleetReports(LedgerReport.NO_ERA, Map.of(), LedgerPage.empty());
    }

    /**
     * Begins a new era, in which all known routers must report again.
     *
     * @param newEra the new era
     * @return the new collection
     */
    public FleetReports inEra(long newEra) {
        return new FleetReports(newEra, byVm, heard);
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
        LedgerReport known = byVm.get(vmName);
        if (known != null && known.era() > report.era()) {
            return new FleetReports(era, byVm, nextHeard);
        }
        Map<String, LedgerReport> next = new HashMap<>(byVm);
        next.put(vmName, report);
        return new FleetReports(era, next, nextHeard);
    }

    /**
     * Returns the report of an incarnation, which keeps what its predecessor had reported through the platform.
     *
     * @param vmName the VM of the router
     * @param holder the name of the incarnation
     * @param known the entries that the incarnation has read
     * @return the report
     */
    public LedgerReport reportOf(String vmName, String holder, LedgerPage known) {
        LedgerPage earlier = byVm.getOrDefault(vmName, LedgerReport.none()).known();
        return new LedgerReport(era, holder, earlier.without(holder).mergeGreatest(known));
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
     * @param prepaidTokensOf returns the size of a budget; empty if the budget has no limit or is unknown
     * @return all entries that any router or the copy knows, and the amounts that are written off
     */
    public RebuiltLedger rebuild(LedgerPage copy, Function<String, OptionalLong> prepaidTokensOf) {
        LedgerPage exact = withReportedEntries(copy.mergeGreatest(heard));
        Map<String, LedgerReport> reporters = reporters();
        LedgerPage rebuilt = exact;
        long writtenOffTokens = 0;
        for (String organisation : exact.entries().keySet()) {
            long leftTokens = prepaidTokensOf.apply(organisation).orElse(Long.MAX_VALUE / 2)
                    - exact.totalTakenTokens(organisation);
            for (String name : exact.entries().get(organisation).keySet()) {
                Holder holder = Holder.of(name);
                if (reporters.containsKey(name) || hasEndedBeforeReading(holder, organisation, exact)) {
                    continue;
                }
                LedgerEntry entry = exact.entry(organisation, name);
                long tokens = isReadSince(copy, LedgerPages.indexOf(organisation))
                        ? GrantRule.mostUnseenTokens(
                                entry.tokensPerS(), leftTokens, exact.otherVmsTokensPerS(organisation, holder.vmName()))
                        : GrantRule.mostTokensSinceCopy(entry.tokensPerS(), leftTokens);
                rebuilt = rebuilt.with(organisation, name, new LedgerEntry(entry.takenTokens() + tokens, 0));
                writtenOffTokens += tokens;
            }
        }
        return new RebuiltLedger(rebuilt, writtenOffTokens);
    }

    /** Tells whether a router that reports has taken tokens of a page, and so read it, since the copy. */
    private boolean isReadSince(LedgerPage copy, int page) {
        return reporters().values().stream()
                .anyMatch(report -> report.known().entries().keySet().stream()
                        .filter(organisation -> LedgerPages.indexOf(organisation) == page)
                        .anyMatch(organisation -> report.known().takenTokens(organisation, report.holder())
                                > copy.takenTokens(organisation, report.holder())));
    }

    private LedgerPage withReportedEntries(LedgerPage known) {
        LedgerPage exact = known;
        Map<String, LedgerReport> reporters = reporters();
        for (String organisation : known.entries().keySet()) {
            for (String holder : known.entries().get(organisation).keySet()) {
                if (reporters.containsKey(holder)) {
                    LedgerEntry reported = reporters.get(holder).known().entry(organisation, holder);
                    exact = exact.with(organisation, holder, reported);
                }
            }
        }
        return exact;
    }

    private Map<String, LedgerReport> reporters() {
        Map<String, LedgerReport> byHolder = new HashMap<>();
        byVm.values().stream()
                .filter(report -> report.era() == era)
                .forEach(report -> byHolder.put(report.holder(), report));
        return byHolder;
    }

    /**
     * Tells whether a holder had ended when its page was last read: a page with an entry of a newer incarnation of the
     * same VM was written after its end, so nothing of what it took is unseen.
     */
    private static boolean hasEndedBeforeReading(Holder holder, String organisation, LedgerPage known) {
        int page = LedgerPages.indexOf(organisation);
        return known.entries().entrySet().stream()
                .filter(entries -> LedgerPages.indexOf(entries.getKey()) == page)
                .flatMap(entries -> entries.getValue().keySet().stream())
                .map(Holder::of)
                .anyMatch(other ->
                        other.vmName().equals(holder.vmName()) && other.startedAtEpochMs() > holder.startedAtEpochMs());
    }
}
