package io.jayhead.admission.prepaid;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Rebuilds the ledger after the platform came back from an older copy.
 *
 * <p>What an incarnation reports of itself is exact. Of one that does not report, the greatest entry that anybody knows
 * counts, and what it may have taken unseen is written off: little if one of its replicas ran all the time, else more.
 * An incarnation whose replicas did not either may have taken tokens of budgets without any entry. The pages name its
 * VM, and tokens are written off for it when such a budget is first used, see {@link LedgerSession#nextUpdate}.
 *
 * @param exact all entries that any router or the copy knows
 * @param reporters the reports that count, by the name of the incarnation
 * @param lost the routers that may have taken tokens unseen
 * @param pagesReadSince the pages that reporting routers have read since the copy
 */
record LedgerRebuild(
        LedgerPage exact, Map<String, LedgerReport> reporters, LostRouters lost, Set<Integer> pagesReadSince) {

    /** Stands for the size of budgets without a limit; their tokens are counted all the same. */
    private static final long UNLIMITED_TOKENS = Long.MAX_VALUE / 2;

    static LedgerRebuild of(FleetReports reports, LedgerPage copy) {
        Map<String, LedgerReport> reporters = new HashMap<>();
        reports.byVm().values().stream()
                .filter(report -> report.era() == reports.era())
                .forEach(report -> reporters.put(report.holder(), report));
        return new LedgerRebuild(
                withReportedEntries(copy.mergeGreatest(reports.heard()), reporters),
                reporters,
                LostRouters.of(reports.byVm(), reports.era()),
                pagesReadSince(copy, reporters));
    }

    RebuiltLedger rebuild(Map<String, Long> prepaidTokens) {
        WriteOffs writeOffs = new WriteOffs();
        for (String organisation : exact.entries().keySet()) {
            long sizeTokens = prepaidTokens.getOrDefault(organisation, UNLIMITED_TOKENS);
            long leftTokens = sizeTokens - exact.totalTakenTokens(organisation);
            writeOffSilentHolders(organisation, leftTokens, writeOffs);
            writeOffUnknownHolders(organisation, leftTokens, writeOffs);
        }
        return writeOffs.applyTo(exact.withUnknownVms(lost.unknownVms()));
    }

    private void writeOffSilentHolders(String organisation, long leftTokens, WriteOffs writeOffs) {
        for (String name : exact.entries().get(organisation).keySet()) {
            Holder holder = Holder.of(name);
            if (isSilent(holder, organisation)) {
                long tokensPerS = exact.entry(organisation, name).tokensPerS();
                writeOffs.add(organisation, holder, unseenTokens(organisation, holder, tokensPerS, leftTokens));
            }
        }
    }

    /**
     * Writes off first tokens of a budget for incarnations without an entry; they count with the greatest demand. A
     * reporting incarnation has read the entries of its predecessors in all budgets that it holds.
     */
    private void writeOffUnknownHolders(String organisation, long leftTokens, WriteOffs writeOffs) {
        Set<String> knownVms = new HashSet<>();
        exact.entries().get(organisation).keySet().stream()
                .map(Holder::of)
                .filter(holder -> reporters.containsKey(holder.name()) || isSilent(holder, organisation))
                .forEach(holder -> knownVms.add(holder.vmName()));
        long tokensPerS = exact.entries().get(organisation).values().stream()
                .mapToLong(LedgerEntry::tokensPerS)
                .max()
                .orElse(0);
        for (String vmName : lost.unknownVms()) {
            if (!knownVms.contains(vmName)) {
                Holder holder = Holder.unknown(vmName);
                writeOffs.add(organisation, holder, unseenTokens(organisation, holder, tokensPerS, leftTokens));
            }
        }
    }

    /** Tells whether a holder does not report and may have taken tokens since its entry was read. */
    private boolean isSilent(Holder holder, String organisation) {
        return !reporters.containsKey(holder.name())
                && !lost.continuousVms().contains(holder.vmName())
                && !hasEndedBeforeReading(holder, organisation);
    }

    private long unseenTokens(String organisation, Holder holder, long tokensPerS, long leftTokens) {
        boolean oneUpdate = lost.replicatedVms().contains(holder.vmName())
                || pagesReadSince.contains(LedgerPages.indexOf(organisation));
        return oneUpdate
                ? GrantRule.mostUnseenTokens(tokensPerS, leftTokens, othersTokensPerS(organisation, holder.vmName()))
                : GrantRule.mostTokensSinceCopy(tokensPerS, leftTokens);
    }

    /**
     * Returns the least demand of other routers by which a router may have limited its prefetching. In a large fleet
     * only the holders of a budget limit each other, and their names may be among what is lost.
     */
    private long othersTokensPerS(String organisation, String vmName) {
        return lost.fleetSize() > GrantRule.SMALL_FLEET ? 0 : exact.otherVmsTokensPerS(organisation, vmName);
    }

    /**
     * Tells whether a holder had ended when its page was last read: a page with an entry of a newer incarnation of the
     * same VM was written after its end, so nothing of what it took is unseen.
     */
    private boolean hasEndedBeforeReading(Holder holder, String organisation) {
        int page = LedgerPages.indexOf(organisation);
        return exact.entries().entrySet().stream()
                .filter(entries -> LedgerPages.indexOf(entries.getKey()) == page)
                .flatMap(entries -> entries.getValue().keySet().stream())
                .map(Holder::of)
                .anyMatch(other ->
                        other.vmName().equals(holder.vmName()) && other.startedAtEpochMs() > holder.startedAtEpochMs());
    }

    private static LedgerPage withReportedEntries(LedgerPage known, Map<String, LedgerReport> reporters) {
        LedgerPage exact = known;
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

    /** Returns the pages of which a reporting router has taken tokens, and which it so has read, since the copy. */
    private static Set<Integer> pagesReadSince(LedgerPage copy, Map<String, LedgerReport> reporters) {
        Set<Integer> pages = new HashSet<>();
        for (LedgerReport report : reporters.values()) {
            for (String organisation : report.known().entries().keySet()) {
                if (report.known().takenTokens(organisation, report.holder())
                        > copy.takenTokens(organisation, report.holder())) {
                    pages.add(LedgerPages.indexOf(organisation));
                }
            }
        }
        return pages;
    }
}
