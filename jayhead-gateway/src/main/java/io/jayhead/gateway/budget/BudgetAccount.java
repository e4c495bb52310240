package io.jayhead.gateway.budget;

import io.jayhead.admission.prepaid.BudgetNeed;
import io.jayhead.admission.prepaid.UrgentReserve;
import io.jayhead.admission.prepaid.Wallet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/** Holds the tokens of one budget at this router and the requests that wait for tokens; used by the traffic thread. */
final class BudgetAccount {

    /**
     * More tokens are prefetched when the free tokens fall below this share of those free after the last ledger read.
     */
    private static final double LOW_WATERMARK_SHARE = 0.65;
    /** A ledger page is recent enough to decide that a budget is exhausted if it was read within this time. */
    private static final long PAGE_MAX_AGE_NS = 700_000_000L;
    /** A budget is scarce, and surplus tokens are returned to the ledger, when less than this share of it is left. */
    private static final double SCARCE_SHARE = 0.08;
    /** When tokens are scarce, the demand of this many seconds is kept. */
    private static final double SCARCE_KEPT_DEMAND_S = 1.0;
    /** Every return costs a call, so returns are at least this far apart. */
    private static final long RETURN_INTERVAL_NS = 1_000_000_000L;
    /** A loan waits this long for the ledger; the borrower stops waiting and asks another router soon after. */
    private static final long LOAN_WAIT_NS = 45_000_000L;
    /** Tokens are also borrowed from other routers once a request has waited longer than this for the ledger. */
    private static final long BORROW_AFTER_NS = 80_000_000L;
    /** A loan also covers the demand of this many seconds. */
    private static final double BORROWED_DEMAND_S = 1.0;
    /** Limits the tokens borrowed for next requests, as a multiple of those that waiting requests lack. */
    private static final long MAX_AHEAD_FACTOR = 3;

    private final Consumer<BudgetNeed> needs;
    private final Runnable beforeLedgerCall;
    private final LoanSource loans;
    private final BooleanSupplier isBudgetHolder;
    private final RankedDemand demand = new RankedDemand();
    /** The tokens that leave this router: consumed by ended requests, or lent and not borrowed. */
    private final DemandRate usage = new DemandRate();

    private final WaitingRequests waiting = new WaitingRequests();
    private final FailedLoans failedLoans = new FailedLoans();
    private final List<WaitingLoan> waitingLoans = new ArrayList<>();
    private Wallet wallet = Wallet.empty();
    private long ledgerTokens;
    private long borrowedTokens;
    private long lentTokens;
    private long prepaidTokens;
    private long leftTokens;
    private long freeTokensAtLastRead;
    private long pageReadAtNs;
    private boolean pageRead;
    private boolean ledgerCallPending;
    private boolean ledgerOutage;
    private boolean borrowing;
    private long returnedTokens;
    private long returnedAtNs = System.nanoTime();

    /**
     * Creates an account without tokens.
     *
     * @param needs receives the tokens that this account needs from the ledger or returns to it
     * @param beforeLedgerCall is called before this account requests tokens from the ledger
     * @param loans borrows from other routers
     * @param isBudgetHolder tells whether this router prefetches tokens from the ledger; other routers borrow first
     */
    BudgetAccount(
            Consumer<BudgetNeed> needs, Runnable beforeLedgerCall, LoanSource loans, BooleanSupplier isBudgetHolder) {
        this.needs = needs;
        this.beforeLedgerCall = beforeLedgerCall;
        this.loans = loans;
        this.isBudgetHolder = isBudgetHolder;
    }

    Wallet wallet() {
        return wallet;
    }

    void reserve(long newPrepaidTokens, long tokens, int rank, long waitMs, Consumer<ReservationResult> callback) {
        if (newPrepaidTokens > prepaidTokens && prepaidTokens > 0 && pageRead) {
            leftTokens += newPrepaidTokens - prepaidTokens;
        }
        prepaidTokens = newPrepaidTokens;
        demand.add(rank, tokens);
        if (waiting.isEmpty() && missingTokens(tokens, rank) <= 0) {
            wallet = wallet.reserve(tokens);
            callback.accept(ReservationResult.RESERVED);
            prefetchTokens();
            return;
        }
        boolean knownExhausted = isExhausted(tokens) && isPageFresh();
        if ((knownExhausted || ledgerOutage) && failedLoans.hasFailedRecently(rank, missingTokens(tokens, rank))) {
            callback.accept(refusal());
            return;
        }
        long nowNs = System.nanoTime();
        waiting.add(new WaitingRequest(tokens, rank, nowNs, nowNs + waitMs * 1_000_000, callback));
        if (knownExhausted || ledgerOutage || !isBudgetHolder.getAsBoolean()) {
            borrow();
        } else {
            requestTokensForWaiting();
        }
    }

    void settle(long reserved, long consumed) {
        long consumedBefore = wallet.consumedTokens();
        wallet = wallet.settle(reserved, consumed);
        usage.add(wallet.consumedTokens() - consumedBefore);
        serveWaiting();
    }

    void ledgerRead(long ownTokens, long left, long returnsDeducted) {
        ledgerCallPending = false;
        ledgerOutage = false;
        pageRead = true;
        pageReadAtNs = System.nanoTime();
        ledgerTokens = ownTokens - (returnedTokens - returnsDeducted);
        leftTokens = left;
        updateWallet();
        serveWaiting();
        answerLoans(loan -> loan.tokens() <= wallet.freeTokens() || isExhausted(loan.tokens()), loan -> 0);
        freeTokensAtLastRead = Math.max(0, wallet.freeTokens());
        if (waiting.any(request -> isExhausted(request.tokens()))) {
            borrow();
        } else {
            requestTokensForWaiting();
        }
    }

    /** Ends a ledger call that changed nothing; the values of the last page remain valid. */
    void ledgerUnchanged() {
        ledgerCallPending = false;
        ledgerOutage = false;
        freeTokensAtLastRead = Math.max(0, wallet.freeTokens());
        requestTokensForWaiting();
    }

    /** Answers waiting loans and borrows for waiting requests, since the ledger will not answer in time. */
    void ledgerUnavailable() {
        ledgerOutage = ledgerCallPending;
        answerLoans(loan -> true, loan -> urgentReserve(loan.rank()));
        borrow();
    }

    /**
     * Lends tokens to another router; they are deducted here before the reply.
     *
     * @param tokens the tokens that the borrower needs
     * @param rank the urgency of the requests that need them; 0 is the most urgent
     * @param borrowerAsksLedger whether the borrower is a holder of the budget and can reach the ledger, so that it
     *     takes tokens from the ledger itself; if not, a holder adds its demand to its own and requests the missing
     *     tokens from the ledger
     * @param reply receives the number of tokens lent, possibly 0, at once or after the ledger has answered
     */
    void lend(long tokens, int rank, boolean borrowerAsksLedger, LongConsumer reply) {
        boolean isHolder = isBudgetHolder.getAsBoolean();
        if (!borrowerAsksLedger && isHolder) {
            demand.add(rank, tokens);
        }
        boolean canAsk = !borrowerAsksLedger && !ledgerOutage && isHolder;
        long lendable = lendableTokens(tokens, rank);
        if (lendable < tokens && canAsk && !(isExhausted(tokens) && isPageFresh())) {
            waitingLoans.add(new WaitingLoan(tokens, rank, System.nanoTime(), reply));
            requestTokensForWaiting();
            return;
        }
        deductLent(lendable);
        reply.accept(lendable);
        prefetchTokens();
    }

    /**
     * Answers the loans that have waited too long with the tokens that are free, less what more urgent requests are
     * expected to need: the ledger may be out of reach before this router has noticed.
     */
    void answerLateLoans() {
        long nowNs = System.nanoTime();
        answerLoans(loan -> nowNs - loan.sinceNs() >= LOAN_WAIT_NS, loan -> urgentReserve(loan.rank()));
    }

    private void answerLoans(Predicate<WaitingLoan> condition, ToLongFunction<WaitingLoan> heldBack) {
        List<WaitingLoan> answered = waitingLoans.stream().filter(condition).toList();
        waitingLoans.removeAll(answered);
        for (WaitingLoan loan : answered) {
            long lent = Math.min(loan.tokens(), Math.max(0, wallet.freeTokens() - heldBack.applyAsLong(loan)));
            deductLent(lent);
            loan.reply().accept(lent);
        }
    }

    /**
     * Lends nothing while a request of this router waits that is more urgent or, at the same rank, lacks no more tokens
     * than the loan. So of two requests that lack tokens one is served, and no tokens stay unused at both routers.
     */
    private long lendableTokens(long tokens, int rank) {
        boolean ownFirst = waiting.any(
                own -> own.rank() < rank || own.rank() == rank && missingTokens(own.tokens(), own.rank()) <= tokens);
        if (ownFirst) {
            return 0;
        }
        long lendable = PeerLoans.tokensToLend(tokens, wallet.freeTokens() - heldBackTokens(rank));
        return PeerLoans.isWorthLending(tokens, lendable) ? lendable : 0;
    }

    /** Returns the tokens that a request lacks; 0 or negative if it can be served. */
    private long missingTokens(long tokens, int rank) {
        return tokens + heldBackTokens(rank) - wallet.freeTokens();
    }

    private long heldBackTokens(int rank) {
        return ledgerOutage ? urgentReserve(rank) : 0;
    }

    private long urgentReserve(int rank) {
        return UrgentReserve.tokens(demand.moreUrgentThan(rank), freeTokensAtLastRead);
    }

    private void deductLent(long tokens) {
        lentTokens += tokens;
        usage.add(tokens);
        updateWallet();
    }

    void tick() {
        long nowNs = System.nanoTime();
        waiting.completeIf(request -> request.untilNs() - nowNs <= 0, ReservationResult.UNAVAILABLE);
        if (waiting.any(request -> nowNs - request.sinceNs() > BORROW_AFTER_NS)) {
            borrow();
        }
        returnSurplusIfScarce();
    }

    void returnAll() {
        returnTokens(wallet.freeTokens());
    }

    /** Adds the need of this account to a ledger call that is made for another budget of the same page. */
    void joinLedgerCall() {
        if (ledgerCallPending || isScarce() || !isBudgetHolder.getAsBoolean()) {
            return;
        }
        ledgerCallPending = true;
        needs.accept(need(0));
    }

    /** Borrows for the most urgent waiting requests; less urgent requests follow when this loan has ended. */
    private void borrow() {
        if (borrowing || waiting.isEmpty()) {
            return;
        }
        borrowing = true;
        int rank = waiting.mostUrgentRank();
        long missingTokens = missingTokens(waiting.tokens(rank), rank);
        LoanNeed need =
                new LoanNeed(missingTokens, missingTokens + tokensAhead(missingTokens, rank), rank, ledgerOutage);
        loans.borrow(need, this::credit, result -> borrowingEnded(rank, result));
    }

    /**
     * Returns the tokens to borrow for the next requests that are as urgent, so that not each of them needs a loan at a
     * busy router.
     */
    private long tokensAhead(long missingTokens, int rank) {
        if (!ledgerOutage && isBudgetHolder.getAsBoolean()) {
            return 0;
        }
        long demandTokens = (long) (demand.sustainedTokensPerS(rank) * BORROWED_DEMAND_S);
        return Math.max(0, Math.min(demandTokens - missingTokens, missingTokens * MAX_AHEAD_FACTOR));
    }

    private void credit(long tokens) {
        borrowedTokens += tokens;
        usage.add(-tokens);
        updateWallet();
        serveWaiting();
    }

    /**
     * Refuses the requests for which no router has lent enough. A loan that covers what was asked shows no lack of
     * tokens, even if requests that have come meanwhile have used it up; the others then borrow again.
     */
    private void borrowingEnded(int rank, LoanResult result) {
        borrowing = false;
        serveWaiting();
        if (waiting.isEmpty()) {
            return;
        }
        boolean noLedgerTokens = ledgerOutage || waiting.all(request -> isExhausted(request.tokens()));
        if (result == LoanResult.COVERED && (noLedgerTokens || !isBudgetHolder.getAsBoolean())) {
            borrow();
            return;
        }
        if (noLedgerTokens && (ledgerOutage || isPageFresh())) {
            failedLoans.recordFailure(rank, waiting.least(rank, this::missingTokens));
            waiting.completeIf(
                    request -> failedLoans.hasFailedRecently(request.rank(), missingTokens(request)), refusal());
            borrow();
        } else if (!ledgerCallPending) {
            requestTokensForWaiting();
        }
    }

    private long missingTokens(WaitingRequest request) {
        return missingTokens(request.tokens(), request.rank());
    }

    private boolean isPageFresh() {
        return System.nanoTime() - pageReadAtNs < PAGE_MAX_AGE_NS;
    }

    private ReservationResult refusal() {
        return ledgerOutage ? ReservationResult.UNAVAILABLE : ReservationResult.EXHAUSTED;
    }

    private void returnSurplusIfScarce() {
        boolean recent = System.nanoTime() - returnedAtNs < RETURN_INTERVAL_NS;
        if (!isScarce() || ledgerCallPending || recent || !waiting.isEmpty()) {
            return;
        }
        returnTokens(wallet.freeTokens() - (long) (demand.tokensPerS() * SCARCE_KEPT_DEMAND_S));
    }

    private void returnTokens(long tokens) {
        long returned = Math.min(tokens, ledgerTokens);
        if (returned <= 0) {
            return;
        }
        ledgerCallPending = true;
        returnedTokens += returned;
        returnedAtNs = System.nanoTime();
        ledgerTokens -= returned;
        updateWallet();
        needs.accept(BudgetNeed.returning(returned));
    }

    private void updateWallet() {
        wallet = wallet.withOwnTokens(ledgerTokens + borrowedTokens - lentTokens);
    }

    private boolean isExhausted(long tokens) {
        return pageRead && leftTokens + wallet.freeTokens() < tokens;
    }

    private boolean isScarce() {
        return pageRead && leftTokens < SCARCE_SHARE * prepaidTokens;
    }

    private void serveWaiting() {
        List<WaitingRequest> served = new ArrayList<>();
        for (WaitingRequest next : waiting.byUrgency()) {
            if (missingTokens(next) <= 0) {
                wallet = wallet.reserve(next.tokens());
                served.add(next);
            }
        }
        waiting.remove(served);
        served.forEach(request -> request.callback().accept(ReservationResult.RESERVED));
    }

    private void requestTokensForWaiting() {
        if (waiting.isEmpty() && waitingLoans.isEmpty()) {
            return;
        }
        long total = waiting.tokens()
                + waitingLoans.stream().mapToLong(WaitingLoan::tokens).sum();
        requestTokens(Math.max(1, total - wallet.freeTokens()));
    }

    private void prefetchTokens() {
        boolean enough = wallet.freeTokens() >= freeTokensAtLastRead * LOW_WATERMARK_SHARE;
        if (ledgerCallPending || enough || !isBudgetHolder.getAsBoolean()) {
            return;
        }
        requestTokens(0);
    }

    private void requestTokens(long required) {
        ledgerCallPending = true;
        beforeLedgerCall.run();
        needs.accept(need(required));
    }

    private BudgetNeed need(long required) {
        long usedTokensPerS = (long) Math.max(0, usage.tokensPerS());
        long freeTokens = Math.max(0, wallet.freeTokens());
        return new BudgetNeed(required, freeTokens, (long) demand.tokensPerS(), usedTokensPerS, Set.of(), 0);
    }

    /** A loan to another router that waits for the ledger. */
    private record WaitingLoan(long tokens, int rank, long sinceNs, LongConsumer reply) {}
}
