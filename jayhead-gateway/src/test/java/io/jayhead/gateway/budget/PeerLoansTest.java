package io.jayhead.gateway.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.gateway.control.RouterAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against loans that empty the wallet of the lender or that are taken from tokens it does not have. */
class PeerLoansTest {

    @Test
    void aLenderKeepsAPartOfItsFreeTokens() {
        assertEquals(60, PeerLoans.tokensToLend(1_000, 100));
        assertEquals(10, PeerLoans.tokensToLend(10, 100));
    }

    @Test
    void nothingIsLentFromAnOverdrawnWallet() {
        assertEquals(0, PeerLoans.tokensToLend(10, -5));
        assertEquals(0, PeerLoans.tokensToLend(-3, 100));
    }

    @Test
    void aPartTooSmallForALoanFromAllAskedRoutersIsNotWorthLending() {
        assertTrue(PeerLoans.isWorthLending(1_000, 250));
        assertFalse(PeerLoans.isWorthLending(1_000, 249));
    }

    @Test
    void theHoldersAreChosenAnewWhenTheFleetChanges() {
        List<RouterAddress> routers = new ArrayList<>();
        PeerLoans loans = new PeerLoans(null, null, "front-0", () -> List.copyOf(routers), null);
        for (int index = 0; index < 8; index++) {
            routers.add(router(index));
        }
        assertEquals(Set.of(), loans.holderVms("shop"));
        for (int index = 8; index < 71; index++) {
            routers.add(router(index));
        }
        Set<String> holders = loans.holderVms("shop");
        assertEquals(4, holders.size());
        String lost = holders.iterator().next();
        routers.removeIf(router -> router.vmName().equals(lost));
        assertFalse(loans.holderVms("shop").contains(lost));
        assertEquals(4, loans.holderVms("shop").size());
    }

    private static RouterAddress router(int index) {
        return new RouterAddress("front-" + index, new InetSocketAddress("127.0.0.1", 1_000 + index));
    }
}
