package io.jayhead.admission.prepaid;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against a balance that loses unconsumed tokens, counts too many, or reserves more than is free. */
class WalletTest {

    @Test
    void aSettledRequestFreesWhatItDidNotConsume() {
        Wallet wallet = Wallet.empty().withOwnTokens(100).reserve(60).settle(60, 20);
        assertEquals(80, wallet.freeTokens());
        assertEquals(20, wallet.consumedTokens());
    }

    @Test
    void aRequestNeverConsumesMoreThanItReserved() {
        assertEquals(
                40, Wallet.empty().withOwnTokens(100).reserve(60).settle(60, 90).freeTokens());
    }

    @Test
    void moreThanTheFreeTokensCannotBeReserved() {
        Wallet wallet = Wallet.empty().withOwnTokens(100).reserve(60);
        assertThrows(IllegalStateException.class, () -> wallet.reserve(41));
    }
}
