package io.jayhead.admission.prepaid;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against counting the demand of a VM more than once after a restart, and against losing the tokens it took. */
class LedgerPageTest {

    @Test
    void theDemandOfAnEarlierIncarnationDoesNotCount() {
        LedgerPage page = LedgerPage.empty()
                .with("shop", new Holder("vm-1", 10, "a").name(), new LedgerEntry(500, 70))
                .with("shop", new Holder("vm-1", 20, "b").name(), new LedgerEntry(100, 30))
                .with("shop", new Holder("vm-2", 10, "c").name(), new LedgerEntry(100, 5));
        assertEquals(30, page.otherVmsTokensPerS("shop", "vm-2"));
        assertEquals(700, page.totalTakenTokens("shop"));
    }

    @Test
    void aNameOfAnotherFormStillCountsWithWhatItTook() {
        LedgerPage page = LedgerPage.empty().with("shop", "unknown", new LedgerEntry(9, 4));
        assertEquals(9, page.totalTakenTokens("shop"));
    }

    @Test
    void onlyTheBudgetsOfAHolderAreReportedByIt() {
        LedgerPage page = LedgerPage.empty()
                .with("shop", "vm-1/1/n", new LedgerEntry(5, 0))
                .with("shop", "vm-2/1/n", new LedgerEntry(6, 0))
                .with("other", "vm-2/1/n", new LedgerEntry(7, 0));
        assertEquals(Set.of("shop"), page.heldBy("vm-1/1/n").entries().keySet());
        assertEquals(6, page.heldBy("vm-1/1/n").takenTokens("shop", "vm-2/1/n"));
    }
}
