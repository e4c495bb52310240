package io.jayhead.gateway.exchange;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against requests that a planned stop accepts although it ends before them. */
class DrainStateTest {

    private static final long SECOND_NS = 1_000_000_000;

    private final DrainState drain = new DrainState();

    @Test
    void nothingIsRefusedBeforeTheLastPartOfAStop() {
        assertFalse(drain.refuses(false, 60_000));
        drain.drain(System.nanoTime() + SECOND_NS);
        assertFalse(drain.refuses(false, 60_000));
        assertFalse(drain.refuses(true, 60_000));
    }

    @Test
    void inTheLastPartCallsThatMayOutlastTheStopAreRefusedAndSoIsEachStream() {
        drain.drain(System.nanoTime() + 10 * SECOND_NS);
        drain.refuseLong();
        assertFalse(drain.refuses(false, 5_000));
        assertTrue(drain.refuses(false, 10_001));
        assertTrue(drain.refuses(true, 1));
    }

    @Test
    void afterItsEndEveryCallIsRefused() {
        drain.drain(System.nanoTime() - 1);
        drain.refuseLong();
        assertTrue(drain.refuses(false, 1));
    }
}
