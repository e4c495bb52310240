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
    private static final double LOW_WATER = 0.65;
    /** A page that was read within this time decides that a budget is exhausted. */
    private static final long PAGE_MAX_AGE_NS = 700_000_000L;
    /** When less than this share of a budget is left, tokens that no request needs go back at once. */
    private static final double SCARCE_SHARE = 0.08;
    /** The demand that is kept when tokens are scarce. */
    private static final double SCARCE_KEEP_S = 1.0;
    /** Returns cost a call each, so they are collected for this time. */
    private static final long RETURN_INTERVAL_NS = 1_000_000_000L;
    /** A loan waits this long for the ledger; borrowers turn to another router soon after. */
    private static final long LOAN_WAIT_NS = 45_000_000L;
    /** A request that waits longer than this for the ledger also asks other routers. */
    private static final long LEDGER_PATIENCE_NS = 80_000_000L;

    private final Consumer<BudgetNeed> needs;
    private final Runnable onAsk;
    private final LoanSource loans;
    private final BooleanSupplier drawsFromLedger;
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
    private boolean asked;
    private boolean unavailable;
    private boolean borrowing;
    private long returnedTokens;
    private long returnedAtNs = System.nanoTime();

    /**
     * Creates an account without tokens.
     *
     * @param needs receives what this router wants of the ledger
     * @param onAsk is called before this router asks the ledger
     * @param loans asks other routers
     * @param drawsFromLedger tells whether this router takes tokens ahead from the ledger; others borrow first
     */
    BudgetAccount(Consumer<BudgetNeed> needs, Runnable onAsk, LoanSource loans, BooleanSupplier drawsFromLedger) {
        this.needs = needs;
        this.onAsk = onAsk;
        this.loans = loans;
        this.drawsFromLedger = drawsFromLedger;
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
        if (waiting.isEmpty() && missing(tokens, rank) <= 0) {
            wallet = wallet.reserve(tokens);
            callback.accept(ReservationResult.RESERVED);
            askAhead();
            return;
        }
        boolean decided = isExhausted(tokens) && isPageFresh();
        if ((decided || unavailable) && failedLoans.isHopeless(rank, missing(tokens, rank))) {
            callback.accept(refusal());
            return;
        }
        long nowNs = System.nanoTime();
        waiting.add(new WaitingRequest(tokens, rank, nowNs, nowNs + waitMs * 1_000_000, callback));
        if (decided || unavailable || !drawsFromLedger.getAsBoolean()) {
            borrow();
        } else {
            askForWaiting();
        }
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
        ledgerTokens = ownTokens - (returnedTokens - returnsSeen);
        leftTokens = left;
        updateWallet();
        serveWaiting();
        answerLoans(each -> each.tokens() <= wallet.freeTokens() || isExhausted(each.tokens()));
        freeAfterReading = Math.max(0, wallet.freeTokens());
        if (waiting.any(each -> isExhausted(each.tokens()))) {
            borrow();
        } else {
            askForWaiting();
        }
    }

    /** Takes note that the ledger had nothing to change; what is known of it holds. */
    void ledgerUnchanged() {
        asked = false;
        unavailable = false;
        freeAfterReading = Math.max(0, wallet.freeTokens());
        askForWaiting();
    }

    /** Lets the requests that wait ask other routers, since the ledger will not answer in time. */
    void ledgerUnavailable() {
        unavailable = asked;
        answerLoans(each -> true);
        borrow();
    }

    /**
     * Lends tokens to another router; they are written off here before the reply.
     *
     * @param tokens the tokens that it needs
     * @param rank how urgent the request is that needs them; 0 is the most urgent
     * @param borrowerDraws whether the other router draws from the ledger itself; if not, its demand counts here and
     *     the ledger is asked for it
     * @param reply receives the tokens, at once or after the ledger has answered
     */
    void lend(long tokens, int rank, boolean borrowerDraws, LongConsumer reply) {
        if (!borrowerDraws) {
            demand.add(rank, tokens);
        }
        boolean canAsk = !borrowerDraws && !unavailable && drawsFromLedger.getAsBoolean();
        long lendable = lendableTokens(tokens, rank);
        if (lendable < tokens && canAsk && !(isExhausted(tokens) && isPageFresh())) {
            waitingLoans.add(new WaitingLoan(tokens, System.nanoTime(), reply));
            askForWaiting();
            return;
        }
        writeOff(lendable);
        reply.accept(lendable);
        askAhead();
    }

    /** Answers the loans that have waited too long with what there is. */
    void answerLateLoans() {
        long nowNs = System.nanoTime();
        answerLoans(each -> nowNs - each.sinceNs() >= LOAN_WAIT_NS);
    }

    private void answerLoans(Predicate<WaitingLoan> which) {
        List<WaitingLoan> answered = waitingLoans.stream().filter(which).toList();
        waitingLoans.removeAll(answered);
        for (WaitingLoan loan : answered) {
            long lent = Math.min(loan.tokens(), Math.max(0, wallet.freeTokens()));
            writeOff(lent);
            loan.reply().accept(lent);
        }
    }

    /** Of two requests that lack tokens, the more urgent or else the smaller is served, so that none lie idle. */
    private long lendableTokens(long tokens, int rank) {
        boolean ownFirst = waiting.any(
                own -> own.rank() < rank || own.rank() == rank && missing(own.tokens(), own.rank()) <= tokens);
        return ownFirst ? 0 : PeerLoans.tokensToLend(tokens, wallet.freeTokens() - heldBackTokens(rank));
    }

    /** Returns what lacks for a request; not positive if it can be served. */
    private long missing(long tokens, int rank) {
        return tokens + heldBackTokens(rank) - wallet.freeTokens();
    }

    private long heldBackTokens(int rank) {
        return unavailable ? UrgentReserve.tokens(demand.moreUrgentThan(rank), freeAfterReading) : 0;
    }

    private void writeOff(long tokens) {
        lentTokens += tokens;
        updateWallet();
    }

    void tick() {
        long nowNs = System.nanoTime();
        waiting.end(each -> each.untilNs() - nowNs <= 0, ReservationResult.UNAVAILABLE);
        if (waiting.any(each -> nowNs - each.sinceNs() > LEDGER_PATIENCE_NS)) {
            borrow();
        }
        returnScarce();
    }

    void returnAll() {
        giveBack(wallet.freeTokens());
    }

    /** Asks for what is missing ahead because a call is made anyway. */
    void joinAsking() {
        if (asked || isScarce() || !drawsFromLedger.getAsBoolean()) {
            return;
        }
        asked = true;
        needs.accept(need(0));
    }

    /** Borrows for the most urgent requests that wait; the others have their turn after them. */
    private void borrow() {
        if (borrowing || waiting.isEmpty()) {
            return;
        }
        borrowing = true;
        int rank = waiting.mostUrgentRank();
        long missingTokens = missing(waiting.tokens(rank), rank);
        loans.borrow(missingTokens, rank, unavailable, this::credit, () -> loansDone(rank));
    }

    private void credit(long tokens) {
        borrowedTokens += tokens;
        updateWallet();
        serveWaiting();
    }

    private void loansDone(int rank) {
        borrowing = false;
        serveWaiting();
        if (waiting.isEmpty()) {
            return;
        }
        boolean ledgerDecided = unavailable || waiting.all(each -> isExhausted(each.tokens()));
        if (ledgerDecided && (unavailable || isPageFresh())) {
            failedLoans.failed(rank, waiting.least(rank, this::missing));
            waiting.end(each -> failedLoans.isHopeless(each.rank(), missing(each)), refusal());
            borrow();
        } else if (!asked) {
            askForWaiting();
        }
    }

    private long missing(WaitingRequest request) {
        return missing(request.tokens(), request.rank());
    }

    private boolean isPageFresh() {
        return System.nanoTime() - pageReadAtNs < PAGE_MAX_AGE_NS;
    }

    private ReservationResult refusal() {
        return unavailable ? ReservationResult.UNAVAILABLE : ReservationResult.EXHAUSTED;
    }

    private void returnScarce() {
        boolean recent = System.nanoTime() - returnedAtNs < RETURN_INTERVAL_NS;
        if (!isScarce() || asked || recent || !waiting.isEmpty()) {
            return;
        }
        giveBack(wallet.freeTokens() - (long) (demand.tokensPerS() * SCARCE_KEEP_S));
    }

    private void giveBack(long tokens) {
        long returned = Math.min(tokens, ledgerTokens);
        if (returned <= 0) {
            return;
        }
        asked = true;
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
            if (missing(next) <= 0) {
                wallet = wallet.reserve(next.tokens());
                served.add(next);
            }
        }
        waiting.remove(served);
        served.forEach(each -> each.callback().accept(ReservationResult.RESERVED));
    }

    private void askForWaiting() {
        if (waiting.isEmpty() && waitingLoans.isEmpty()) {
            return;
        }
        long total = waiting.tokens()
                + waitingLoans.stream().mapToLong(WaitingLoan::tokens).sum();
        ask(Math.max(1, total - wallet.freeTokens()));
    }

    private void askAhead() {
        boolean enough = wallet.freeTokens() >= freeAfterReading * LOW_WATER;
        if (asked || enough || !drawsFromLedger.getAsBoolean()) {
            return;
        }
        ask(0);
    }

    private void ask(long required) {
        asked = true;
        onAsk.run();
        needs.accept(need(required));
    }

    private BudgetNeed need(long required) {
        return new BudgetNeed(required, Math.max(0, wallet.freeTokens()), (long) demand.tokensPerS(), 0);
    }

    /** Another router's request for tokens that waits for the ledger. */
    private record WaitingLoan(long tokens, long sinceNs, LongConsumer reply) {}
}
