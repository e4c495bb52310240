package io.jayhead.gateway.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.gateway.control.RouterAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays an outage of the ledger in a large fleet, without a network and without clocks: most requests of one
 * organisation arrive at two routers that hold no tokens, while loans of the four holders are still on their way.
 *
 * <p>Guards against refusals while the holders have tokens, against messages to holders that have none, and against
 * tokens that appear or vanish on the way.
 */
class OutageReplayTest {

    private static final int ROUTERS = 16;
    private static final int HOLDERS = 4;
    private static final int REQUESTS = 400;
    private static final int REQUESTS_IN_FLIGHT = 20;
    private static final long MOST_TOKENS = 3_000;
    private static final long URGENT_TOKENS = 300;
    private static final long LARGE_TOKENS = 12_000;
    private static final long WAIT_MS = 5_000;

    private final Deque<Runnable> messages = new ArrayDeque<>();
    private final Deque<Runnable> running = new ArrayDeque<>();
    private final List<BudgetAccount> accounts = new ArrayList<>();
    private final List<RouterAddress> holders = new ArrayList<>();
    private int refused;
    private int asked;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noRequestIsRefusedWhileHoldersHaveTokensToLend(long seed) {
        startOutage(500_000);
        play(new Random(seed));
        assertEquals(0, refused);
        assertTrue(asked < REQUESTS / 2, "loans asked for: " + asked);
        assertEquals(HOLDERS * 500_000, ownTokens());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noTokensAppearOrVanishWhenTheyRunOut(long seed) {
        startOutage(40_000);
        play(new Random(seed));
        assertTrue(refused > 0);
        assertEquals(HOLDERS * 40_000, ownTokens());
    }

    @Test
    void holdersWithoutTokensAreAskedOnceAndNotForEachRequest() {
        startOutage(0);
        play(new Random(1));
        assertEquals(REQUESTS, refused);
        assertTrue(asked <= ROUTERS * HOLDERS * 5, "loans asked for: " + asked);
    }

    /**
     * Short urgent requests and large ones arrive until the holders have nothing left. In the other tests the ranks are
     * drawn at random.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void urgentRequestsGoOnWhenTheTokensLeftDoNotServeAll(long seed) {
        startOutage(100_000);
        Random random = new Random(seed);
        int urgentRefused = 0;
        int largeRefused = 0;
        for (int request = 0; request < REQUESTS; request++) {
            boolean urgent = request % 2 == 0;
            int refusedBefore = refused;
            BudgetAccount account = accounts.get(HOLDERS + random.nextInt(ROUTERS - HOLDERS));
            long tokens = urgent ? URGENT_TOKENS : LARGE_TOKENS;
            account.reserve(10_000_000, tokens, urgent ? 0 : 2, WAIT_MS, result -> ended(account, tokens, result));
            deliver(Integer.MAX_VALUE);
            if (running.size() > REQUESTS_IN_FLIGHT) {
                running.remove().run();
            }
            urgentRefused += urgent ? refused - refusedBefore : 0;
            largeRefused += urgent ? 0 : refused - refusedBefore;
        }
        assertTrue(largeRefused > REQUESTS / 4, "large requests refused: " + largeRefused);
        assertTrue(urgentRefused * 10 < largeRefused, "urgent requests refused: " + urgentRefused);
    }

    private void startOutage(long tokensOfEachHolder) {
        for (int router = 0; router < ROUTERS; router++) {
            boolean isHolder = router < HOLDERS;
            int self = router;
            Lenders lenders = new Lenders();
            accounts.add(new BudgetAccount(
                    need -> messages.add(() -> accounts.get(self).ledgerUnavailable()),
                    () -> {},
                    (need, onLoan, onDone) -> askNext(lenders, need, List.copyOf(holders), onLoan, onDone),
                    () -> isHolder));
            if (isHolder) {
                holders.add(new RouterAddress("front-" + router, new InetSocketAddress("127.0.0.1", 1_000 + router)));
                accounts.get(router).ledgerRead(tokensOfEachHolder, 10_000_000, 0);
            }
        }
    }

    private void play(Random random) {
        for (int request = 0; request < REQUESTS; request++) {
            BudgetAccount account =
                    accounts.get(random.nextInt(10) < 9 ? HOLDERS + random.nextInt(2) : random.nextInt(ROUTERS));
            long tokens = 1 + (long) (random.nextDouble() * MOST_TOKENS);
            account.reserve(10_000_000, tokens, random.nextInt(3), WAIT_MS, result -> ended(account, tokens, result));
            if (random.nextBoolean()) {
                deliver(1 + random.nextInt(3));
            }
            if (running.size() > REQUESTS_IN_FLIGHT) {
                running.remove().run();
            }
        }
        deliver(Integer.MAX_VALUE);
    }

    private void ended(BudgetAccount account, long tokens, ReservationResult result) {
        if (result == ReservationResult.RESERVED) {
            running.add(() -> account.settle(tokens, tokens / 3));
        } else {
            refused++;
        }
    }

    private void deliver(int most) {
        for (int message = 0; message < most && !messages.isEmpty(); message++) {
            messages.remove().run();
        }
    }

    private void askNext(
            Lenders lenders,
            LoanNeed need,
            List<RouterAddress> remaining,
            LongConsumer onLoan,
            Consumer<LoanResult> onDone) {
        List<RouterAddress> toAsk = lenders.toAsk(remaining, need);
        if (need.neededTokens() <= 0 || toAsk.isEmpty()) {
            onDone.accept(need.neededTokens() <= 0 ? LoanResult.COVERED : LoanResult.NOT_COVERED);
            return;
        }
        asked++;
        RouterAddress lender = toAsk.get(0);
        List<RouterAddress> others = new ArrayList<>(toAsk);
        others.remove(lender);
        messages.add(() -> accounts.get(holders.indexOf(lender))
                .lend(
                        need.wantedTokens(),
                        need.rank(),
                        false,
                        lent -> messages.add(() -> {
                            lenders.answered(lender.vmName(), need, lent);
                            onLoan.accept(lent);
                            askNext(lenders, need.after(lent), others, onLoan, onDone);
                        })));
    }

    private long ownTokens() {
        return accounts.stream()
                .mapToLong(account -> account.wallet().ownTokens())
                .sum();
    }
}
