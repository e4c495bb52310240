package io.jayhead.admission.prepaid;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
}
