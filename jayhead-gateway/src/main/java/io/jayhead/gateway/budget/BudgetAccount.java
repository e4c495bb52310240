package io.jayhead.gateway.budget;

import io.jayhead.admission.prepaid.BudgetNeed;
import io.jayhead.admission.prepaid.UrgentReserve;
import io.jayhead.admission.prepaid.Wallet;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

/** The tokens of one budget at this router and the requests that wait for them; used by the traffic thread. */
final class BudgetAccount {

    /** Below this part of what was free after the last ledger reading, more tokens are taken. */
    private static final double LOW_WATERMARK_SHARE = 0.65;
    /** A page that was read within this time decides that a budget is exhausted. */
    private static final long PAGE_MAX_AGE_NS = 700_000_000L;
    /** When less than this share of a budget is left, tokens that no request needs go back at once. */
    private static final double SCARCE_SHARE = 0.08;
    /** The demand that is kept when tokens are scarce. */
    private static final double SCARCE_KEPT_DEMAND_S = 1.0;
    /** Returns cost a call each, so they are collected for this time. */
    private static final long RETURN_INTERVAL_NS = 1_000_000_000L;
    /** A loan waits this long for the ledger; borrowers turn to another router soon after. */
    private static final long LOAN_WAIT_NS = 45_000_000L;
    /** A request that waits longer than this for the ledger also asks other routers. */
    private static final long BORROW_AFTER_NS = 80_000_000L;

    private final Consumer<BudgetNeed> needs;
    private final Runnable beforeLedgerCall;
    private final LoanSource loans;
    private final BooleanSupplier isBudgetHolder;
    private final RankedDemand demand = new RankedDemand();
    private final WaitingRequests waiting = new WaitingRequests();
    private final FailedLoans failedLoans = new FailedLoans();
    private final List<WaitingLoan> waitingLoans = new ArrayList<>();
    private Wallet wallet = Wallet.empty();
    private long ledgerTokens;
    private long borrowedTokens;
    private long lentTokens;
    private long prepaidTokens;
    private long leftTokens;
    private long freeAfterReading;
    private long pageReadAtNs;
    private boolean pageRead;
    private boolean ledgerCallPending;
    private boolean unavailable;
    private boolean borrowing;
    private long returnedTokens;
    private long returnedAtNs = System.nanoTime();

    /**
     * Creates an account without tokens.
     *
     * @param needs receives what this router wants of the ledger
     * @param beforeLedgerCall is called before this router asks the ledger
     * @param loans asks other routers
     * @param isBudgetHolder tells whether this router takes tokens ahead from the ledger; others borrow first
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

    void reserve(long prepaid, long tokens, int rank, long waitMs, Consumer<ReservationResult> callback) {
        if (prepaid > prepaidTokens && prepaidTokens > 0 && pageRead) {
            leftTokens += prepaid - prepaidTokens;
        }
        prepaidTokens = prepaid;
        demand.add(rank, tokens);
        if (waiting.isEmpty() && missingTokens(tokens, rank) <= 0) {
            wallet = wallet.reserve(tokens);
            callback.accept(ReservationResult.RESERVED);
            prefetchTokens();
            return;
        }
        boolean knownExhausted = isExhausted(tokens) && isPageFresh();
        if ((knownExhausted || unavailable) && failedLoans.hasFailedRecently(rank, missingTokens(tokens, rank))) {
            callback.accept(refusal());
            return;
        }
        long nowNs = System.nanoTime();
        waiting.add(new WaitingRequest(tokens, rank, nowNs, nowNs + waitMs * 1_000_000, callback));
        if (knownExhausted || unavailable || !isBudgetHolder.getAsBoolean()) {
            borrow();
        } else {
            requestTokensForWaiting();
        }
    }

    void settle(long reserved, long consumed) {
        wallet = wallet.settle(reserved, consumed);
        serveWaiting();
    }

    void ledgerRead(long ownTokens, long left, long returnsDeducted) {
        ledgerCallPending = false;
        unavailable = false;
        pageRead = true;
        pageReadAtNs = System.nanoTime();
        ledgerTokens = ownTokens - (returnedTokens - returnsDeducted);
        leftTokens = left;
        updateWallet();
        serveWaiting();
        answerLoans(loan -> loan.tokens() <= wallet.freeTokens() || isExhausted(loan.tokens()));
        freeAfterReading = Math.max(0, wallet.freeTokens());
        if (waiting.any(request -> isExhausted(request.tokens()))) {
            borrow();
        } else {
            requestTokensForWaiting();
        }
    }

    /** Takes note that the ledger had nothing to change; what is known of it holds. */
    void ledgerUnchanged() {
        ledgerCallPending = false;
        unavailable = false;
        freeAfterReading = Math.max(0, wallet.freeTokens());
        requestTokensForWaiting();
    }

    /** Lets the requests that wait ask other routers, since the ledger will not answer in time. */
    void ledgerUnavailable() {
        unavailable = ledgerCallPending;
        answerLoans(loan -> true);
        borrow();
    }

    /**
     * Lends tokens to another router; they are written off here before the reply.
     *
     * @param tokens the tokens that it needs
     * @param rank how urgent the request is that needs them; 0 is the most urgent
     * @param borrowerAsksLedger whether the other router draws from the ledger itself; if not, its demand counts here and
     *     the ledger is asked for it
     * @param reply receives the tokens, at once or after the ledger has answered
     */
    void lend(long tokens, int rank, boolean borrowerAsksLedger, LongConsumer reply) {
        if (!borrowerAsksLedger) {
            demand.add(rank, tokens);
        }
        boolean canAsk = !borrowerAsksLedger && !unavailable && isBudgetHolder.getAsBoolean();
        long lendable = lendableTokens(tokens, rank);
        if (lendable < tokens && canAsk && !(isExhausted(tokens) && isPageFresh())) {
            waitingLoans.add(new WaitingLoan(tokens, System.nanoTime(), reply));
            requestTokensForWaiting();
            return;
        }
        deductLent(lendable);
        reply.accept(lendable);
        prefetchTokens();
    }

    /** Answers the loans that have waited too long with what there is. */
    void answerLateLoans() {
        long nowNs = System.nanoTime();
        answerLoans(loan -> nowNs - loan.sinceNs() >= LOAN_WAIT_NS);
    }

    private void answerLoans(Predicate<WaitingLoan> condition) {
        List<WaitingLoan> answered = waitingLoans.stream().filter(condition).toList();
        waitingLoans.removeAll(answered);
        for (WaitingLoan loan : answered) {
            long lent = Math.min(loan.tokens(), Math.max(0, wallet.freeTokens()));
            deductLent(lent);
            loan.reply().accept(lent);
        }
    }

    /** Of two requests that lack tokens, the more urgent or else the smaller is served, so that none lie idle. */
    private long lendableTokens(long tokens, int rank) {
        boolean ownFirst = waiting.any(
                own -> own.rank() < rank || own.rank() == rank && missingTokens(own.tokens(), own.rank()) <= tokens);
        return ownFirst ? 0 : PeerLoans.tokensToLend(tokens, wallet.freeTokens() - heldBackTokens(rank));
    }

    /** Returns what lacks for a request; not positive if it can be served. */
    private long missingTokens(long tokens, int rank) {
        return tokens + heldBackTokens(rank) - wallet.freeTokens();
    }

    private long heldBackTokens(int rank) {
        return unavailable ? UrgentReserve.tokens(demand.moreUrgentThan(rank), freeAfterReading) : 0;
    }

    private void deductLent(long tokens) {
        lentTokens += tokens;
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

    /** Asks for what is missing ahead because a call is made anyway. */
    void joinLedgerCall() {
        if (ledgerCallPending || isScarce() || !isBudgetHolder.getAsBoolean()) {
            return;
        }
        ledgerCallPending = true;
        needs.accept(need(0));
    }

    /** Borrows for the most urgent requests that wait; the others have their turn after them. */
    private void borrow() {
        if (borrowing || waiting.isEmpty()) {
            return;
        }
        borrowing = true;
        int rank = waiting.mostUrgentRank();
        long missingTokens = missingTokens(waiting.tokens(rank), rank);
        loans.borrow(missingTokens, rank, unavailable, this::credit, () -> borrowingEnded(rank));
    }

    private void credit(long tokens) {
        borrowedTokens += tokens;
        updateWallet();
        serveWaiting();
    }

    private void borrowingEnded(int rank) {
        borrowing = false;
        serveWaiting();
        if (waiting.isEmpty()) {
            return;
        }
        boolean noLedgerTokens = unavailable || waiting.all(request -> isExhausted(request.tokens()));
        if (noLedgerTokens && (unavailable || isPageFresh())) {
            failedLoans.failed(rank, waiting.least(rank, this::missingTokens));
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
        return unavailable ? ReservationResult.UNAVAILABLE : ReservationResult.EXHAUSTED;
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
        wallet = wallet.withOwn(ledgerTokens + borrowedTokens - lentTokens);
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
        boolean enough = wallet.freeTokens() >= freeAfterReading * LOW_WATERMARK_SHARE;
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
        return new BudgetNeed(required, Math.max(0, wallet.freeTokens()), (long) demand.tokensPerS(), 0);
    }

    /** Another router's request for tokens that waits for the ledger. */
    private record WaitingLoan(long tokens, long sinceNs, LongConsumer reply) {}
}
