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

/** Runs admission and executes its commands; belongs to the control thread. */
public final class AdmissionService {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long BORROW_TIMEOUT_MS = 500;

    private final ControlThread control;
    private final HybridClock clock;
    private final Configuration configuration;
    private final Membership membership;
    private final PeerLinks links;
    private final PlatformMonitor monitor;
    private final Ledgers ledgers;
    private final DecisionLog decisions;
    private final Map<String, AdmissionCallback> callbacks = new HashMap<>();
    private final Map<String, CompletableFuture<Frame>> loanReplies = new HashMap<>();
    private final Map<BudgetId, Long> reportedTokens = new HashMap<>();
    private final Deque<AdmissionEvent> pending = new ArrayDeque<>();
    private AdmissionState state;
    private boolean handling;
    private volatile boolean voided;
    private boolean closing;

    /**
     * Creates the service.
     *
     * @param initial the initial state
     * @param control the control thread
     * @param clock the clock
     * @param configuration tells whether new work may start
     * @param membership the routers
     * @param links sends requests to other routers
     * @param monitor whether the platform is down
     * @param ledgers edits the ledgers
     * @param decisions the decision log
     */
    public AdmissionService(
            AdmissionState initial,
            ControlThread control,
            HybridClock clock,
            Configuration configuration,
            Membership membership,
            PeerLinks links,
            PlatformMonitor monitor,
            Ledgers ledgers,
            DecisionLog decisions) {
        this.state = initial;
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
     * Asks for admission of a request.
     *
     * @param request the request
     * @param callback is told the decision
     */
    public void arrive(AdmissionRequest request, AdmissionCallback callback) {
        callbacks.put(request.id(), callback);
        handle(new AdmissionEvent.RequestArrived(request, clock.nowMs()));
    }

    /**
     * Handles an event.
     *
     * @param event the event
     */
    public void handle(AdmissionEvent event) {
        pending.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            while (!pending.isEmpty()) {
                step(pending.poll());
            }
        } finally {
            handling = false;
        }
    }

    /** Lets time pass. */
    public void tick() {
        handle(new AdmissionEvent.Tick(clock.nowMs()));
    }

    /**
     * Answers a peer that asks for a loan.
     *
     * @param ask the request
     * @return the reply
     */
    public CompletableFuture<Frame> lend(Borrow ask) {
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        loanReplies.put(ask.getTransferId(), reply);
        handle(new AdmissionEvent.LoanAsked(
                VmName.of(ask.getVm()),
                BudgetId.of(ask.getOrganisation(), ask.getBudget()),
                ask.getTransferId(),
                ask.getTokens(),
                clock.nowMs()));
        return reply;
    }

    /** Reports to the ledgers what was consumed since the last report. */
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
                    ledgers.report(account).thenAccept(result -> control.execute(() -> checkVoided(account, result)));
                });
    }

    /**
     * Closes the entries of this router in all ledgers.
     *
     * @return completes when all are closed or given up
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
     * Returns the state, for operators and metrics.
     *
     * @return the state
     */
    public AdmissionState state() {
        return state;
    }

    /**
     * Returns what the ledger of a budget had left when this router last asked for tokens.
     *
     * @param budget the budget
     * @return the unallocated tokens, 0 if it never asked
     */
    public long unallocatedTokens(BudgetId budget) {
        return state.demands().get(budget).map(BudgetDemand::unallocatedTokens).orElse(0L);
    }

    /**
     * Tells whether a grant of this router was reclaimed; may be called from any thread. Upstreams that check fencing
     * refuse its incarnation, so only a new start can serve that budget again.
     *
     * @return true if one was
     */
    public boolean isVoided() {
        return voided;
    }

    /**
     * Returns the incarnation of this router.
     *
     * @return the incarnation
     */
    public IncarnationId incarnation() {
        return state.settings().incarnation();
    }

    private void step(AdmissionEvent event) {
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
            callbacks.remove(start.id()).started();
        } else if (command instanceof AdmissionCommand.Refuse refuse) {
            callbacks.remove(refuse.id()).refused(refuse.code(), refuse.message());
        } else if (command instanceof AdmissionCommand.AskPlatform ask) {
            askPlatform(ask);
        } else if (command instanceof AdmissionCommand.AskPeers ask) {
            askPeer(ask, membership.livePeersOtherAvailabilityZonesFirst().iterator());
        } else if (command instanceof AdmissionCommand.Lend lend) {
            replyLoan(lend.transferId(), lend.tokens());
        } else if (command instanceof AdmissionCommand.DeclineLoan decline) {
            replyLoan(decline.transferId(), 0);
        } else if (command instanceof AdmissionCommand.ReturnTokens returned) {
            ledgers.returnTokens(returned.budget(), returned.tokens());
        } else if (command instanceof AdmissionCommand.ReportFault fault) {
            LOGGER.atSevere().log(
                    "settlement does not fit its reservation request=%s fault=%s", fault.id(), fault.fault());
        }
    }

    private void askPlatform(AdmissionCommand.AskPlatform ask) {
        if (monitor.isDown()) {
            pending.add(new AdmissionEvent.GrantUnavailable(ask.budget(), clock.nowMs()));
            return;
        }
        GrantAccount account = state.book().account(ask.budget());
        int routers = membership.live().size();
        AtomicLong grantedTokens = new AtomicLong();
        ledgers.grant(
                        account,
                        state.settings().sizer(),
                        ask.minimumTokens(),
                        ask.tokens(),
                        ask.lendingLimitTokens(),
                        routers,
                        grantedTokens)
                .thenAccept(result -> control.execute(() -> granted(ask, grantedTokens.get(), result)));
    }

    private void granted(AdmissionCommand.AskPlatform ask, long tokens, EditResult<Ledgers.GrantRefusal> result) {
        long nowMs = clock.nowMs();
        if (result instanceof EditResult.Edited<Ledgers.GrantRefusal> edited) {
            BudgetLedger ledger = LedgerCodec.decode(edited.body());
            decisions.record(
                    "grant",
                    "-",
                    "budget=%s granted_tokens=%d wanted_tokens=%d unallocated_tokens=%d",
                    ask.budget(),
                    tokens,
                    ask.tokens(),
                    ledger.unallocatedTokens());
            handle(new AdmissionEvent.GrantReceived(ask.budget(), tokens, ask.lendingLimitTokens(), nowMs));
            return;
        }
        if (result instanceof EditResult.Refused<Ledgers.GrantRefusal> refused) {
            checkVoided(ask.budget(), refused.refusal().reason());
            handle(new AdmissionEvent.GrantRefused(
                    ask.budget(), refused.refusal().unallocatedTokens(), nowMs));
            return;
        }
        LOGGER.atInfo().log("grant unavailable budget=%s cause=%s", ask.budget(), result);
        handle(new AdmissionEvent.GrantUnavailable(ask.budget(), nowMs));
    }

    private void checkVoided(GrantAccount account, EditResult<LedgerRefusal> result) {
        if (result instanceof EditResult.Refused<LedgerRefusal> refused) {
            checkVoided(account.budget(), refused.refusal());
        }
    }

    private void checkVoided(BudgetId budget, LedgerRefusal refusal) {
        boolean lost = refusal == LedgerRefusal.ENTRY_CLOSED
                || refusal == LedgerRefusal.RECLAIMING
                || refusal == LedgerRefusal.NO_ENTRY;
        if (lost && !closing) {
            LOGGER.atWarning().log("grant reclaimed budget=%s reason=%s", budget, refusal);
            voided = true;
            handle(new AdmissionEvent.BudgetVoided(budget, clock.nowMs()));
        }
    }

    private void askPeer(AdmissionCommand.AskPeers ask, Iterator<Member> peers) {
        if (!peers.hasNext()) {
            pending.add(new AdmissionEvent.LoanRefused(ask.budget(), clock.nowMs()));
            control.execute(this::tick);
            return;
        }
        Member peer = peers.next();
        Borrow borrow = Borrow.newBuilder()
                .setVm(membership.self().vm().value())
                .setOrganisation(ask.budget().organisation().value())
                .setBudget(ask.budget().budget().value())
                .setTransferId(ask.transferId())
                .setTokens(ask.tokens())
                .build();
        links.send(
                peer.address(),
                Frame.newBuilder().setBorrow(borrow).build(),
                BORROW_TIMEOUT_MS,
                reply -> borrowed(ask, peers, peer, reply.getBorrowReply()),
                () -> askPeer(ask, peers));
    }

    private void borrowed(AdmissionCommand.AskPeers ask, Iterator<Member> peers, Member peer, BorrowReply reply) {
        decisions.record(
                "grant",
                "-",
                "budget=%s borrowed_tokens=%d wanted_tokens=%d peer=%s",
                ask.budget(),
                reply.getTokens(),
                ask.tokens(),
                peer.vm());
        if (reply.getTokens() == 0) {
            askPeer(ask, peers);
            return;
        }
        handle(new AdmissionEvent.LoanReceived(ask.budget(), ask.transferId(), reply.getTokens(), clock.nowMs()));
    }

    private void replyLoan(String transferId, long tokens) {
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
