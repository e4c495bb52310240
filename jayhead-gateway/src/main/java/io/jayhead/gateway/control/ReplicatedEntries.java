package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.LedgerEntry;
import io.jayhead.admission.prepaid.LedgerPage;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the ledger entries that other routers have replicated to this one, so that it can report them if those routers
 * end and the platform loses their entries; used by the control thread.
 */
final class ReplicatedEntries {

    /** Longer than the age of any copy that the platform may come back from. */
    static final long KEPT_MS = 60_000;

    private static final long SWEEP_MS = 1_000;

    private final Map<String, Map<String, ReceivedEntry>> byHolder = new HashMap<>();
    private long sweptAtMs;

    /**
     * Adds entries, which replace earlier ones of the same holder and organisation.
     *
     * @param holder the name of the incarnation that has taken the tokens
     * @param entries its entries, by organisation
     * @param nowMs the current time
     */
    void add(String holder, Map<String, LedgerEntry> entries, long nowMs) {
        Map<String, ReceivedEntry> known = byHolder.computeIfAbsent(holder, name -> new HashMap<>());
        entries.forEach((organisation, entry) -> known.put(organisation, new ReceivedEntry(entry, nowMs)));
        if (nowMs - sweptAtMs >= SWEEP_MS) {
            sweptAtMs = nowMs;
            removeOlderThan(nowMs - KEPT_MS);
        }
    }

    /**
     * Returns the entries that are not older than {@link #KEPT_MS}.
     *
     * @param nowMs the current time
     * @return the entries of all holders
     */
    LedgerPage entries(long nowMs) {
        removeOlderThan(nowMs - KEPT_MS);
        Map<String, Map<String, LedgerEntry>> byOrganisation = new HashMap<>();
        byHolder.forEach((holder, entries) -> entries.forEach((organisation, received) -> byOrganisation
                .computeIfAbsent(organisation, name -> new HashMap<>())
                .put(holder, received.entry())));
        return LedgerPage.of(byOrganisation);
    }

    private void removeOlderThan(long receivedAtMs) {
        byHolder.values()
                .forEach(entries -> entries.values().removeIf(received -> received.receivedAtMs() < receivedAtMs));
        byHolder.values().removeIf(Map::isEmpty);
    }

    private record ReceivedEntry(LedgerEntry entry, long receivedAtMs) {}
}
