package io.jayhead.gateway.budget;

import io.jayhead.admission.prepaid.BudgetNeed;
import io.jayhead.admission.prepaid.GrantRule;
import io.jayhead.admission.prepaid.Wallet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/** The tokens of one budget at this router and the requests that wait for them; used by the traffic thread. */
final class BudgetAccount {

    /** Below this part of what was free after the last ledger reading, more tokens are taken. */
    private static final double LOW_WATER = 0.65;
    /** The time over which the demand is averaged. */
    private static final double DEMAND_WINDOW_S = 3.0;
    /** The demand of the first requests is averaged over at least this time. */
    private static final double MIN_DEMAND_AGE_S = 0.5;
    /** A page that was read within this time decides that a budget is exhausted. */
    private static final long PAGE_MAX_AGE_NS = 700_000_000L;
    /** When less than this share of a budget is left, tokens that no request needs go back at once. */
    private static final double SCARCE_SHARE = 0.08;
    /** The demand that is kept when tokens are scarce. */
    private static final double SCARCE_KEEP_S = 1.0;
    /** Returns cost a call each, so they are collected for this time. */
    private static final long RETURN_INTERVAL_NS = 1_000_000_000L;

    private final Consumer<BudgetNeed> needs;
    private final Runnable onAsk;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private Wallet wallet = Wallet.empty();
    private long prepaidTokens;
    private long leftTokens;
    private long pageReadAtNs;
    private boolean pageRead;
    private boolean asked;
    private boolean unavailable;
    private long returnedTokens;
    private long returnedAtNs = System.nanoTime();
    private long freeAfterReading;
    private double averageTokensPerS;
    private long demandAtNs = System.nanoTime();
    private final long firstDemandAtNs = System.nanoTime();

    BudgetAccount(Consumer<BudgetNeed> needs, Runnable onAsk) {
        this.needs = needs;
        this.onAsk = onAsk;
    }

    Wallet wallet() {
        return wallet;
    }

    void reserve(long prepaid, long tokens, long waitMs, Consumer<ReservationResult> callback) {
        if (prepaid > prepaidTokens && pageRead) {
            leftTokens += prepaid - prepaidTokens;
        }
        prepaidTokens = prepaid;
        countDemand(tokens);
        if (waiting.isEmpty() && tokens <= wallet.freeTokens()) {
            wallet = wallet.reserve(tokens);
            callback.accept(ReservationResult.RESERVED);
            askAhead();
            return;
        }
        if (isExhausted(tokens) && System.nanoTime() - pageReadAtNs < PAGE_MAX_AGE_NS) {
            callback.accept(ReservationResult.EXHAUSTED);
            return;
        }
        if (unavailable) {
            callback.accept(ReservationResult.UNAVAILABLE);
            return;
        }
        waiting.add(new Waiting(tokens, System.nanoTime() + waitMs * 1_000_000, callback));
        askForWaiting();
    }

    void settle(long reserved, long consumed) {
        wallet = wallet.settle(reserved, consumed);
        serveWaiting();
    }

    void ledgerRead(long ownTokens, long left, long returnsSeen) {
        asked = false;
        unavailable = false;
        pageRead = true;
        pageReadAtNs = System.nanoTime();
        long returnsUnseen = returnedTokens - returnsSeen;
        wallet = wallet.withOwn(ownTokens - returnsUnseen);
        leftTokens = left;
        serveWaiting();
        refuseUncovered();
        freeAfterReading = Math.max(0, wallet.freeTokens());
        askForWaiting();
    }

    /** Refuses the requests that wait, since the ledger will not answer in time; the keeper goes on asking. */
    void ledgerUnavailable() {
        unavailable = asked;
        List<Waiting> refused = new ArrayList<>(waiting);
        waiting.clear();
        refused.forEach(each -> each.callback().accept(ReservationResult.UNAVAILABLE));
    }

    void tick() {
        long nowNs = System.nanoTime();
        List<Waiting> expired = new ArrayList<>();
        for (Iterator<Waiting> each = waiting.iterator(); each.hasNext(); ) {
            Waiting next = each.next();
            if (next.untilNs() - nowNs <= 0) {
                each.remove();
                expired.add(next);
            }
        }
        expired.forEach(each -> each.callback().accept(ReservationResult.UNAVAILABLE));
        decayDemand();
        returnScarce();
    }

    void returnAll() {
        giveBack(wallet.freeTokens());
    }

    private void returnScarce() {
        boolean recent = System.nanoTime() - returnedAtNs < RETURN_INTERVAL_NS;
        if (!isScarce() || asked || recent || !waiting.isEmpty()) {
            return;
        }
        giveBack(wallet.freeTokens() - (long) (tokensPerS() * SCARCE_KEEP_S));
    }

    private void giveBack(long tokens) {
        if (tokens <= 0) {
            return;
        }
        asked = true;
        returnedTokens += tokens;
        returnedAtNs = System.nanoTime();
        wallet = wallet.withOwn(wallet.ownTokens() - tokens);
        needs.accept(BudgetNeed.returning(tokens));
    }

    private boolean isExhausted(long tokens) {
        return pageRead && leftTokens + wallet.freeTokens() < tokens;
    }

    private void serveWaiting() {
        while (!waiting.isEmpty() && waiting.peek().tokens() <= wallet.freeTokens()) {
            Waiting next = waiting.poll();
            wallet = wallet.reserve(next.tokens());
            next.callback().accept(ReservationResult.RESERVED);
        }
    }

    private void refuseUncovered() {
        List<Waiting> refused = new ArrayList<>();
        for (Iterator<Waiting> each = waiting.iterator(); each.hasNext(); ) {
            Waiting next = each.next();
            if (isExhausted(next.tokens())) {
                each.remove();
                refused.add(next);
            }
        }
        refused.forEach(each -> each.callback().accept(ReservationResult.EXHAUSTED));
        serveWaiting();
    }

    private void askForWaiting() {
        if (waiting.isEmpty()) {
            return;
        }
        long total = waiting.stream().mapToLong(Waiting::tokens).sum();
        long required = Math.max(1, total - wallet.freeTokens());
        ask(required);
    }

    private void askAhead() {
        long nearlyUsed = Math.min(freeAfterReading, (long) (tokensPerS() * GrantRule.MAX_AHEAD_S));
        if (asked || wallet.freeTokens() >= nearlyUsed * LOW_WATER) {
            return;
        }
        ask(0);
    }

    /** Asks for what is missing ahead because a call is made anyway. */
    void joinAsking() {
        if (asked || isScarce()) {
            return;
        }
        asked = true;
        needs.accept(need(0));
    }

    private void ask(long required) {
        asked = true;
        onAsk.run();
        needs.accept(need(required));
    }

    private BudgetNeed need(long required) {
        return new BudgetNeed(required, Math.max(0, wallet.freeTokens()), (long) tokensPerS(), 0);
    }

    private boolean isScarce() {
        return pageRead && leftTokens < SCARCE_SHARE * prepaidTokens;
    }

    private void countDemand(long tokens) {
        decayDemand();
        averageTokensPerS += tokens / DEMAND_WINDOW_S;
    }

    private void decayDemand() {
        long nowNs = System.nanoTime();
        averageTokensPerS *= Math.exp(-(nowNs - demandAtNs) / 1e9 / DEMAND_WINDOW_S);
        demandAtNs = nowNs;
    }

    /** Corrects the average for the time before the first request, when there was no demand to see. */
    private double tokensPerS() {
        double ageS = Math.max(MIN_DEMAND_AGE_S, (System.nanoTime() - firstDemandAtNs) / 1e9);
        return averageTokensPerS / (1 - Math.exp(-ageS / DEMAND_WINDOW_S));
    }

    /** A request that waits for tokens. */
    private record Waiting(long tokens, long untilNs, Consumer<ReservationResult> callback) {}
}
