package io.jayhead.daemon.budget;

import com.google.common.flogger.FluentLogger;
import io.jayhead.admission.AdmissionCommand;
import io.jayhead.admission.AdmissionController;
import io.jayhead.admission.AdmissionEvent;
import io.jayhead.admission.AdmissionRequest;
import io.jayhead.admission.AdmissionState;
import io.jayhead.admission.BudgetDemand;
import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.admission.budget.GrantAccount;
import io.jayhead.admission.budget.LedgerRefusal;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.daemon.fleet.Configuration;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.daemon.fleet.Membership;
import io.jayhead.daemon.fleet.PeerLinks;
import io.jayhead.daemon.fleet.PlatformMonitor;
import io.jayhead.daemon.observe.DecisionLog;
import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.Transition;
import io.jayhead.model.VmName;
import io.jayhead.peer.pb.Borrow;
import io.jayhead.peer.pb.BorrowReply;
import io.jayhead.peer.pb.Frame;
import io.jayhead.platform.EditResult;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Feeds events to the admission controller and executes the commands that it returns. Confined to the control thread
 * unless stated otherwise.
 */
public final class AdmissionService {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long BORROW_TIMEOUT_MS = 500;

    private final ControlThread control;
    private final HybridClock clock;
    private final Configuration configuration;
    private final Membership membership;
    private final PeerLinks links;
    private final PlatformMonitor monitor;
    private final BudgetLedgerEditor ledgers;
    private final DecisionLog decisions;
    private final Map<String, AdmissionCallback> callbacks = new HashMap<>();
    private final Map<String, CompletableFuture<Frame>> loanReplies = new HashMap<>();
    private final Map<BudgetId, Long> reportedTokens = new HashMap<>();
    private final Deque<AdmissionEvent> pendingEvents = new ArrayDeque<>();
    private AdmissionState state;
    private boolean handlingEvents;
    private volatile boolean grantReclaimed;
    private boolean closing;

    /**
     * Creates the service.
     *
     * @param initialState the admission state to start from
     * @param control the thread on which replies are handled
     * @param clock the time source of the events
     * @param configuration tells whether new work may start
     * @param membership lists the live routers
     * @param links sends loan requests to peers
     * @param monitor tells whether the platform is down
     * @param ledgers edits the budget ledgers in the platform
     * @param decisions the log of grant decisions
     */
    public AdmissionService(
            AdmissionState initialState,
            ControlThread control,
            HybridClock clock,
            Configuration configuration,
            Membership membership,
            PeerLinks links,
            PlatformMonitor monitor,
            BudgetLedgerEditor ledgers,
            DecisionLog decisions) {
        this.state = initialState;
        this.control = control;
        this.clock = clock;
        this.configuration = configuration;
        this.membership = membership;
        this.links = links;
        this.monitor = monitor;
        this.ledgers = ledgers;
        this.decisions = decisions;
    }

    /**
     * Requests admission.
     *
     * @param request the request to admit
     * @param callback receives the decision; it may be called before this method returns
     */
    public void requestAdmission(AdmissionRequest request, AdmissionCallback callback) {
        callbacks.put(request.id(), callback);
        handle(new AdmissionEvent.RequestArrived(request, clock.nowMs()));
    }

    /**
     * Handles an event. An event that is raised while another one is being handled is queued and handled after it.
     *
     * @param event the event
     */
    public void handle(AdmissionEvent event) {
        pendingEvents.add(event);
        if (handlingEvents) {
            return;
        }
        handlingEvents = true;
        try {
            while (!pendingEvents.isEmpty()) {
                process(pendingEvents.poll());
            }
        } finally {
            handlingEvents = false;
        }
    }

    /** Passes the current time to admission, so that it can act on timeouts. */
    public void tick() {
        handle(new AdmissionEvent.Tick(clock.nowMs()));
    }

    /**
     * Answers a peer that requests a loan.
     *
     * @param request the loan request
     * @return the reply; 0 tokens if no loan is given
     */
    public CompletableFuture<Frame> lend(Borrow request) {
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        loanReplies.put(request.getTransferId(), reply);
        handle(new AdmissionEvent.LoanRequested(
                VmName.of(request.getVm()),
                BudgetId.of(request.getOrganisation(), request.getBudget()),
                request.getTransferId(),
                request.getTokens(),
                clock.nowMs()));
        return reply;
    }

    /** Reports to each ledger the consumed tokens of this router if they changed since the last report. */
    public void reportConsumption() {
        if (monitor.isDown() || closing) {
            return;
        }
        state.book()
                .accounts()
                .filter(account -> account.grantedTokens() > 0)
                .filter(account -> reportedTokens.getOrDefault(account.budget(), 0L) != account.consumedTokens())
                .toList()
                .forEach(account -> {
                    reportedTokens.put(account.budget(), account.consumedTokens());
                    ledgers.report(account)
                            .thenAccept(result -> control.execute(() -> checkGrantReclaimed(account, result)));
                });
    }

    /**
     * Closes the entries of this router in all ledgers, which returns the unspent tokens. Consumption is no longer
     * reported from then on.
     *
     * @return a future that completes when every entry is closed or its edit has failed
     */
    public CompletableFuture<Void> closeAll() {
        closing = true;
        List<CompletableFuture<?>> closes = state.book()
                .accounts()
                .filter(account -> account.grantedTokens() > 0 || account.borrowedTokens() > 0)
                .<CompletableFuture<?>>map(account -> ledgers.close(account)
                        .thenAccept(result -> LOGGER.atInfo().log(
                                "grant returned budget=%s consumed_tokens=%d result=%s",
                                account.budget(),
                                account.consumedTokens(),
                                result.getClass().getSimpleName())))
                .toList();
        return CompletableFuture.allOf(closes.toArray(CompletableFuture[]::new));
    }

    /**
     * Returns the current admission state, for operators and metrics.
     *
     * @return an immutable snapshot
     */
    public AdmissionState state() {
        return state;
    }

    /**
     * Returns the unallocated tokens that the ledger of a budget stated when it refused the last grant request of this
     * router.
     *
     * @param budget the budget
     * @return the unallocated tokens, 0 if the last request was not refused or none was made
     */
    public long unallocatedTokens(BudgetId budget) {
        return state.demands().get(budget).map(BudgetDemand::unallocatedTokens).orElse(0L);
    }

    /**
     * Tells whether a grant of this router was reclaimed; may be called from any thread. Upstreams that check fencing
     * refuse this incarnation from then on, so the router must be restarted to serve that budget again.
     *
     * @return true if a grant was reclaimed
     */
    public boolean hasReclaimedGrant() {
        return grantReclaimed;
    }

    /**
     * Returns the incarnation of this router, under which it holds its grants.
     *
     * @return the incarnation
     */
    public IncarnationId incarnation() {
        return state.settings().incarnation();
    }

    private void process(AdmissionEvent event) {
        boolean fresh = configuration.isFresh();
        if (state.fresh() != fresh) {
            LOGGER.atInfo().log(
                    "configuration fresh=%s version=%d",
                    fresh, configuration.view().version());
            apply(new AdmissionEvent.FreshnessChanged(fresh, clock.nowMs()));
        }
        apply(event);
    }

    private void apply(AdmissionEvent event) {
        Transition<AdmissionState, AdmissionCommand> transition = AdmissionController.handle(state, event);
        state = transition.state();
        transition.commands().forEach(this::execute);
    }

    private void execute(AdmissionCommand command) {
        if (command instanceof AdmissionCommand.Start start) {
            callbacks.remove(start.id()).admitted();
        } else if (command instanceof AdmissionCommand.Refuse refuse) {
            callbacks.remove(refuse.id()).refused(refuse.code(), refuse.message());
        } else if (command instanceof AdmissionCommand.RequestGrant grantRequest) {
            requestGrant(grantRequest);
        } else if (command instanceof AdmissionCommand.RequestLoan loanRequest) {
            requestLoan(
                    loanRequest,
                    membership.livePeersOtherAvailabilityZonesFirst().iterator());
        } else if (command instanceof AdmissionCommand.Lend lend) {
            replyToBorrower(lend.transferId(), lend.tokens());
        } else if (command instanceof AdmissionCommand.DeclineLoan decline) {
            replyToBorrower(decline.transferId(), 0);
        } else if (command instanceof AdmissionCommand.ReturnTokens returnTokens) {
            ledgers.returnTokens(returnTokens.budget(), returnTokens.tokens());
        } else if (command instanceof AdmissionCommand.ReportFault fault) {
            LOGGER.atSevere().log(
                    "settlement does not fit its reservation request=%s fault=%s", fault.id(), fault.fault());
        }
    }

    private void requestGrant(AdmissionCommand.RequestGrant grantRequest) {
        if (monitor.isDown()) {
            pendingEvents.add(new AdmissionEvent.GrantUnavailable(grantRequest.budget(), clock.nowMs()));
            return;
        }
        GrantAccount account = state.book().account(grantRequest.budget());
        int routers = membership.live().size();
        AtomicLong grantedTokens = new AtomicLong();
        ledgers.grant(
                        account,
                        state.settings().sizer(),
                        grantRequest.minimumTokens(),
                        grantRequest.tokens(),
                        grantRequest.lendingLimitTokens(),
                        routers,
                        grantedTokens)
                .thenAccept(result -> control.execute(() -> onGrantResult(grantRequest, grantedTokens.get(), result)));
    }

    private void onGrantResult(
            AdmissionCommand.RequestGrant grantRequest,
            long tokens,
            EditResult<BudgetLedgerEditor.GrantRefusal> result) {
        long nowMs = clock.nowMs();
        if (result instanceof EditResult.Edited<BudgetLedgerEditor.GrantRefusal> edited) {
            BudgetLedger ledger = LedgerCodec.decode(edited.body());
            decisions.record(
                    "grant",
                    "-",
                    "budget=%s granted_tokens=%d wanted_tokens=%d unallocated_tokens=%d",
                    grantRequest.budget(),
                    tokens,
                    grantRequest.tokens(),
                    ledger.unallocatedTokens());
            handle(new AdmissionEvent.GrantReceived(
                    grantRequest.budget(), tokens, grantRequest.lendingLimitTokens(), nowMs));
            return;
        }
        if (result instanceof EditResult.Refused<BudgetLedgerEditor.GrantRefusal> refused) {
            checkGrantReclaimed(grantRequest.budget(), refused.refusal().reason());
            handle(new AdmissionEvent.GrantRefused(
                    grantRequest.budget(), refused.refusal().unallocatedTokens(), nowMs));
            return;
        }
        LOGGER.atInfo().log("grant unavailable budget=%s cause=%s", grantRequest.budget(), result);
        handle(new AdmissionEvent.GrantUnavailable(grantRequest.budget(), nowMs));
    }

    private void checkGrantReclaimed(GrantAccount account, EditResult<LedgerRefusal> result) {
        if (result instanceof EditResult.Refused<LedgerRefusal> refused) {
            checkGrantReclaimed(account.budget(), refused.refusal());
        }
    }

    private void checkGrantReclaimed(BudgetId budget, LedgerRefusal refusal) {
        boolean reclaimed = refusal == LedgerRefusal.ENTRY_CLOSED
                || refusal == LedgerRefusal.RECLAIMING
                || refusal == LedgerRefusal.NO_ENTRY;
        if (reclaimed && !closing) {
            LOGGER.atWarning().log("grant reclaimed budget=%s reason=%s", budget, refusal);
            grantReclaimed = true;
            handle(new AdmissionEvent.GrantReclaimed(budget, clock.nowMs()));
        }
    }

    private void requestLoan(AdmissionCommand.RequestLoan loanRequest, Iterator<Member> peers) {
        if (!peers.hasNext()) {
            pendingEvents.add(new AdmissionEvent.LoanRefused(loanRequest.budget(), clock.nowMs()));
            control.execute(this::tick);
            return;
        }
        Member peer = peers.next();
        Borrow borrow = Borrow.newBuilder()
                .setVm(membership.self().vm().value())
                .setOrganisation(loanRequest.budget().organisation().value())
                .setBudget(loanRequest.budget().budget().value())
                .setTransferId(loanRequest.transferId())
                .setTokens(loanRequest.tokens())
                .build();
        links.send(
                peer.address(),
                Frame.newBuilder().setBorrow(borrow).build(),
                BORROW_TIMEOUT_MS,
                reply -> onLoanReply(loanRequest, peers, peer, reply.getBorrowReply()),
                () -> requestLoan(loanRequest, peers));
    }

    private void onLoanReply(
            AdmissionCommand.RequestLoan loanRequest, Iterator<Member> peers, Member peer, BorrowReply reply) {
        decisions.record(
                "grant",
                "-",
                "budget=%s borrowed_tokens=%d wanted_tokens=%d peer=%s",
                loanRequest.budget(),
                reply.getTokens(),
                loanRequest.tokens(),
                peer.vm());
        if (reply.getTokens() == 0) {
            requestLoan(loanRequest, peers);
            return;
        }
        handle(new AdmissionEvent.LoanReceived(
                loanRequest.budget(), loanRequest.transferId(), reply.getTokens(), clock.nowMs()));
    }

    private void replyToBorrower(String transferId, long tokens) {
        CompletableFuture<Frame> reply = loanReplies.remove(transferId);
        if (reply == null) {
            return;
        }
        BorrowReply body = BorrowReply.newBuilder()
                .setTransferId(transferId)
                .setTokens(tokens)
                .build();
        reply.complete(Frame.newBuilder().setBorrowReply(body).build());
    }
}
