package io.jayhead.gateway.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
}
