package io.jayhead.admission.memory;

import static io.jayhead.admission.memory.HoldingPhase.DELIVERING;
import static io.jayhead.admission.memory.HoldingPhase.RECEIVING;
import static io.jayhead.admission.memory.HoldingPhase.RUNNING;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Guards against giving up the requests of ordinary callers when many others use up the memory. */
class SheddingOrderTest {

    private static final long MB = 1_000_000;
    private static final long NOW_MS = 60_000;
    private static final MemoryAccount ACCOUNT = new MemoryAccount(16 * MB, 17 * MB);

    @Test
    void whatHoldsMostForLongestGoesFirst() {
        Holding largeAndNew = new Holding(DELIVERING, 4 * MB, NOW_MS - 1_000);
        Holding smallerAndOld = new Holding(DELIVERING, 2 * MB, NOW_MS - 10_000);
        assertEquals(Optional.of(smallerAndOld), next(largeAndNew, smallerAndOld, new Holding(RECEIVING, 500, 0)));
    }

    @Test
    void whatWaitsForItsCallerGoesBeforeWhatRuns() {
        Holding running = new Holding(RUNNING, 4 * MB, 0);
        Holding receiving = new Holding(RECEIVING, 100_000, NOW_MS);
        assertEquals(Optional.of(receiving), next(running, running, running, running, receiving));
    }

    @Test
    void smallRequestsStayWhileLargeOnesRun() {
        Holding running = new Holding(RUNNING, 4 * MB, 0);
        Holding small = new Holding(RECEIVING, 5_000, 0);
        assertEquals(Optional.of(running), next(small, running, small, running, small));
    }

    @Test
    void smallIdleConnectionsStayWhileAnswersAreNotRead() {
        Holding unread = new Holding(DELIVERING, 400_000, NOW_MS - 100);
        Holding idle = new Holding(RECEIVING, 4_000, 0);
        List<Holding> holders = new ArrayList<>(Collections.nCopies(3_000, idle));
        holders.add(unread);
        assertEquals(Optional.of(unread), next(holders));
    }

    @Test
    void withoutLargeHoldingsTheOldestOfManySmallOnesGoes() {
        Holding oldest = new Holding(RECEIVING, 4_000, 0);
        List<Holding> holders = new ArrayList<>(Collections.nCopies(4_000, new Holding(RECEIVING, 4_000, 30_000)));
        holders.add(oldest);
        assertEquals(Optional.of(oldest), next(holders));
    }

    @Test
    void withoutHoldersNothingIsGivenUp() {
        assertEquals(Optional.empty(), next());
    }

    @Test
    void aSingleRequestWithinTheLimitExceedsNoAccount() {
        MemoryAccount account = MemoryAccount.of(16 * MB).charged(5 * MB).charged(11 * MB);
        assertTrue(!account.isExceeded() && account.charged(1).isExceeded());
        assertEquals(MemoryAccount.of(16 * MB), account.released(16 * MB));
    }

    private static Optional<Holding> next(Holding... holders) {
        return next(Arrays.asList(holders));
    }

    private static Optional<Holding> next(List<Holding> holders) {
        return SheddingOrder.next(holders, Function.identity(), ACCOUNT, NOW_MS);
    }
}
