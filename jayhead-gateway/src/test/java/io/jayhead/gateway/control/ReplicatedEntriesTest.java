package io.jayhead.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.admission.prepaid.LedgerEntry;
import io.jayhead.admission.prepaid.LedgerPage;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against reporting too little of a router that has ended, and against keeping its entries for ever. */
class ReplicatedEntriesTest {

    private static final String HOLDER = "vm-1/100/a";

    private final ReplicatedEntries replicas = new ReplicatedEntries();

    @Test
    void theNewestEntryOfAHolderCountsAlsoIfItIsSmaller() {
        replicas.add(HOLDER, Map.of("shop", new LedgerEntry(900, 10)), 1);
        replicas.add(HOLDER, Map.of("shop", new LedgerEntry(400, 0)), 2);
        assertEquals(400, replicas.entries(3).takenTokens("shop", HOLDER));
    }

    @Test
    void entriesOfSeveralHoldersAndBudgetsAreKept() {
        replicas.add(HOLDER, Map.of("shop", new LedgerEntry(900, 10), "museum", new LedgerEntry(1, 0)), 1);
        replicas.add("vm-2/100/b", Map.of("shop", new LedgerEntry(50, 10)), 2);
        LedgerPage entries = replicas.entries(3);
        assertEquals(950, entries.totalTakenTokens("shop"));
        assertEquals(1, entries.totalTakenTokens("museum"));
    }

    @Test
    void entriesThatAnyCopyOfThePlatformContainsAreForgotten() {
        replicas.add(HOLDER, Map.of("shop", new LedgerEntry(900, 10)), 1);
        assertEquals(900, replicas.entries(ReplicatedEntries.KEPT_MS).takenTokens("shop", HOLDER));
        assertEquals(LedgerPage.empty(), replicas.entries(ReplicatedEntries.KEPT_MS + 2));
    }
}
