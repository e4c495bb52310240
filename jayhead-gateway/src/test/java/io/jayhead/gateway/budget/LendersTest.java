package io.jayhead.gateway.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.gateway.control.RouterAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against messages to holders without tokens: in an outage every request of a large fleet would ask them again.
 */
class LendersTest {

    private final RouterAddress first = router("front-1");
    private final RouterAddress second = router("front-2");
    private final List<RouterAddress> holders = List.of(first, second);
    private final Lenders lenders = new Lenders();

    @Test
    void aRouterThatLackedTokensIsNotAskedAgainForAsMany() {
        lenders.answered("front-1", need(500, true), 20);
        assertEquals(List.of(second), lenders.toAsk(holders, need(500, true)));
        assertEquals(holders, lenders.toAsk(holders, need(100, true)));
    }

    @Test
    void inAnOutageTheLastLenderIsAskedFirst() {
        lenders.answered("front-2", need(500, true), 500);
        assertEquals(List.of(second, first), lenders.toAsk(holders, need(500, true)));
    }

    @Test
    void whileTheLedgerAnswersAllHoldersAreAskedAlike() {
        lenders.answered("front-2", need(500, false), 500);
        assertEquals(holders, lenders.toAsk(holders, need(500, false)));
    }

    private static LoanNeed need(long tokens, boolean cutOff) {
        return new LoanNeed(tokens, tokens, 1, cutOff);
    }

    private static RouterAddress router(String vmName) {
        return new RouterAddress(vmName, new InetSocketAddress("127.0.0.1", 1_000));
    }
}
