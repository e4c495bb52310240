package io.jayhead.gateway.budget;

import io.jayhead.admission.prepaid.BudgetNeed;
import io.jayhead.admission.prepaid.LedgerPages;
import io.jayhead.gateway.control.BudgetListener;
import io.jayhead.gateway.control.RouterAddress;
import io.jayhead.gateway.log.GuardedTask;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.PeerException;
import io.jayhead.peer.pb.Borrow;
import io.jayhead.peer.pb.Frame;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * Keeps the accounts of all prepaid budgets at this router: reserves tokens for requests and lends tokens to other
 * routers. Used by the traffic thread; the methods of {@link BudgetListener} may be called by any thread.
 */
public final class BudgetAccounts implements BudgetListener {

    private static final long TICK_MS = 100;
    /** A loan that waits for the ledger is checked again after this time. */
    private static final long LOAN_CHECK_MS = 50;

    private final EventLoop traffic;
    private final BiConsumer<String, BudgetNeed> needs;
    private final StructuredLog log;
    private final GatewayMetrics metrics;
    private final PeerLoans loans;
    private final String vmName;
    private final Map<String, BudgetAccount> accounts = new HashMap<>();
    private final Map<String, RecentBorrowers> borrowers = new HashMap<>();
    private boolean ledgerOutage;
    private long ledgerOutageSinceNs;

    /**
     * Creates an instance without accounts.
     *
     * @param traffic the traffic thread
     * @param needs receives what this router needs of a budget, by organisation
     * @param peers sends messages to other routers
     * @param vmName the name of this router's VM
     * @param routers returns the routers of the fleet
     * @param log receives loans and outages of the ledger
     * @param metrics receives the state of budgets
     */
    public BudgetAccounts(
            EventLoop traffic,
            BiConsumer<String, BudgetNeed> needs,
            PeerClient peers,
            String vmName,
            Supplier<List<RouterAddress>> routers,
            StructuredLog log,
            GatewayMetrics metrics) {
        this.traffic = traffic;
        this.needs = needs;
        this.log = log;
        this.metrics = metrics;
        this.vmName = vmName;
        this.loans = new PeerLoans(traffic, peers, vmName, routers, log);
    }

    /** Starts the periodic work: ends expired waits, borrows for slow ones and returns surplus tokens. */
    public void start() {
        GuardedTask guarded = new GuardedTask("check budgets", log, this::tick);
        traffic.scheduleWithFixedDelay(guarded, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Reserves the most tokens that a request can consume.
     *
     * @param organisation the organisation
     * @param prepaidTokens the size of its budget
     * @param tokens the tokens to reserve
     * @param rank how urgent the request is; 0 is the most urgent
     * @param waitMs the longest time in milliseconds for which the request can wait for tokens
     * @param callback receives the result, possibly before this method returns
     */
    public void reserve(
            String organisation,
            long prepaidTokens,
            long tokens,
            int rank,
            long waitMs,
            Consumer<ReservationResult> callback) {
        account(organisation).reserve(prepaidTokens, tokens, rank, waitMs, callback);
    }

    /**
     * Settles a reservation; must be called exactly once for each.
     *
     * @param organisation the organisation
     * @param reservedTokens the tokens that were reserved
     * @param consumedTokens the tokens that the request consumed
     */
    public void settle(String organisation, long reservedTokens, long consumedTokens) {
        BudgetAccount account = account(organisation);
        account.settle(reservedTokens, consumedTokens);
        metrics.budget(
                organisation, account.wallet().freeTokens(), account.wallet().consumedTokens());
    }

    /**
     * Returns how long the outage of the ledger has lasted.
     *
     * @return the time in milliseconds; 0 if there is no outage
     */
    public long ledgerOutageMs() {
        return ledgerOutage ? (System.nanoTime() - ledgerOutageSinceNs) / 1_000_000 : 0;
    }

    /** Returns all free tokens to the ledger before the process stops. */
    public void returnAll() {
        accounts.values().forEach(BudgetAccount::returnAll);
    }

    /**
     * Answers a request of another router for a loan.
     *
     * @param request the message
     * @return the reply; fails with a {@link PeerException} if the message requests no loan
     */
    public CompletableFuture<Frame> answerPeer(Frame request) {
        if (!request.hasBorrow()) {
            return CompletableFuture.failedFuture(new PeerException("only loans are answered"));
        }
        Borrow borrow = request.getBorrow();
        boolean borrowerAsksLedger =
                !borrow.getCutOff() && loans.isBudgetHolder(borrow.getOrganisation(), borrow.getVm());
        BudgetAccount lender = account(borrow.getOrganisation());
        CompletableFuture<Frame> answer = new CompletableFuture<>();
        lender.lend(borrow.getTokens(), borrow.getRank(), borrowerAsksLedger, lent -> {
            logLoan(borrow, lent);
            answer.complete(PeerLoans.reply(borrow, lent, otherBorrowers(borrow, lent)));
        });
        if (!answer.isDone()) {
            traffic.schedule(lender::answerLateLoans, LOAN_CHECK_MS, TimeUnit.MILLISECONDS);
        }
        return answer;
    }

    /** Records a loan, and returns the routers to ask next if it does not cover the need. */
    private List<String> otherBorrowers(Borrow borrow, long lent) {
        RecentBorrowers recent = borrowers.computeIfAbsent(borrow.getOrganisation(), name -> new RecentBorrowers());
        recent.lent(borrow.getVm(), lent);
        return lent < borrow.getTokens() ? recent.largestExcept(borrow.getVm()) : List.of();
    }

    private void logLoan(Borrow borrow, long lent) {
        log.write(
                LogKind.BUDGET,
                "lent",
                "organisation",
                borrow.getOrganisation(),
                "to",
                borrow.getVm(),
                "rank",
                borrow.getRank(),
                "asked",
                borrow.getTokens(),
                "tokens",
                lent);
    }

    @Override
    public void budgetRead(String organisation, long ownTokens, long leftTokens, long returnedTokens) {
        traffic.execute(() -> {
            ledgerOutage = false;
            account(organisation).ledgerRead(ownTokens, leftTokens, returnedTokens);
        });
    }

    @Override
    public void budgetUnchanged(String organisation) {
        traffic.execute(() -> account(organisation).ledgerUnchanged());
    }

    @Override
    public void ledgerUnavailable() {
        traffic.execute(() -> {
            log.write(LogKind.BUDGET, "ledger unavailable", "accounts", accounts.size());
            ledgerOutageSinceNs = ledgerOutage ? ledgerOutageSinceNs : System.nanoTime();
            ledgerOutage = true;
            accounts.values().forEach(BudgetAccount::ledgerUnavailable);
        });
    }

    /**
     * Adds the needs of all accounts on the same ledger page to a call, since one update serves all budgets of a page.
     */
    private void joinLedgerCall(String organisation) {
        int page = LedgerPages.indexOf(organisation);
        accounts.forEach((name, account) -> {
            if (LedgerPages.indexOf(name) == page) {
                account.joinLedgerCall();
            }
        });
    }

    private void borrow(String organisation, LoanNeed need, LongConsumer onLoan, Consumer<LoanResult> onDone) {
        loans.borrow(organisation, need, onLoan, result -> {
            metrics.loanEnded(result.name());
            onDone.accept(result);
        });
    }

    private void tick() {
        accounts.values().forEach(BudgetAccount::tick);
    }

    private BudgetAccount account(String organisation) {
        return accounts.computeIfAbsent(
                organisation,
                name -> new BudgetAccount(
                        need -> needs.accept(name, need.withHolderVms(loans.holderVms(name))),
                        () -> joinLedgerCall(name),
                        (need, onLoan, onDone) -> borrow(name, need, onLoan, onDone),
                        () -> loans.isBudgetHolder(name, vmName)));
    }
}
