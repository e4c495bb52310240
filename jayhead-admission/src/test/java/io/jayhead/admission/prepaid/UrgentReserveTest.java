package io.jayhead.admission.prepaid;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against urgent requests that are refused in an outage of the store.
 *
 * <p>Without a reserve, a few large and less urgent requests use up the tokens that many short ones need.
 */
class UrgentReserveTest {

    private static final int URGENT_TOKENS = 1_000;
    private static final int LARGE_TOKENS = 12_000;
    private static final int OUTAGE_S = 8;
    private static final long WALLET_TOKENS = 120_000;

    @Test
    void urgentRequestsAreServedLongerThanLargeOnesInAnOutage() {
        assertTrue(servedUrgent(true) > servedUrgent(false) * 4 / 3);
    }

    @Test
    void theReserveNeverExceedsAQuarterOfTheWallet() {
        assertEquals(25_000, UrgentReserve.tokens(1_000_000, 100_000));
        assertEquals(0, UrgentReserve.tokens(1_000_000, -5));
    }

    @Test
    void theMostUrgentRequestsLeaveNothing() {
        assertEquals(0, UrgentReserve.tokens(0, 100_000));
    }

    /** Five urgent and two large requests arrive in each second. */
    private static int servedUrgent(boolean withReserve) {
        long free = WALLET_TOKENS;
        int served = 0;
        long reserve = withReserve ? UrgentReserve.tokens(5 * URGENT_TOKENS, WALLET_TOKENS) : 0;
        for (int second = 0; second < OUTAGE_S; second++) {
            for (int large = 0; large < 2; large++) {
                free -= free - reserve >= LARGE_TOKENS ? LARGE_TOKENS : 0;
            }
            for (int urgent = 0; urgent < 5 && free >= URGENT_TOKENS; urgent++) {
                free -= URGENT_TOKENS;
                served++;
            }
        }
        return served;
    }
}
