package io.jayhead.gateway.budget;

import io.jayhead.admission.prepaid.GrantRule;
import io.jayhead.gateway.control.RouterAddress;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.pb.Borrow;
import io.jayhead.peer.pb.BorrowReply;
import io.jayhead.peer.pb.Frame;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Borrows tokens from other routers and limits how many a router lends; used by the traffic thread.
 *
 * <p>The lender deducts the tokens before it answers. So the tokens of a lost answer are lost, but tokens can never be
 * spent twice.
 */
final class PeerLoans {

    /** Other routers answer within a few milliseconds; if one has not answered after this time, the next is asked. */
    private static final long ANSWER_WAIT_MS = 80;
    /** Tokens of a late answer are still credited if it arrives within this time; those of a later answer are lost. */
    private static final long ANSWER_TIMEOUT_MS = 5_000;
    /** A router that did not answer is not asked again for this time. */
    private static final long SILENT_PEER_NS = 2_000_000_000L;
    /** Limits how many routers are asked one after the other, and so the time for which a request waits for loans. */
    private static final int MAX_PEERS = 4;
    /** A lender keeps at least this share of its free tokens. */
    private static final double KEPT_SHARE = 0.4;
    /** Smaller shares of a loan would not add up to all of it, as at most {@link #MAX_PEERS} routers are asked. */
    private static final double MIN_LOAN_SHARE = 1.0 / MAX_PEERS;

    private final EventLoop traffic;
    private final PeerClient client;
    private final String vmName;
    private final Supplier<List<RouterAddress>> routers;
    private final StructuredLog log;
    private final Map<String, Long> silentSinceNs = new HashMap<>();
    private final Map<String, Lenders> lenders = new HashMap<>();
    private final Map<String, List<RouterAddress>> holdersByOrganisation = new HashMap<>();
    /** The routers from which the holders were chosen. */
    private List<RouterAddress> fleet = List.of();

    PeerLoans(
            EventLoop traffic,
            PeerClient client,
            String vmName,
            Supplier<List<RouterAddress>> routers,
            StructuredLog log) {
        this.traffic = traffic;
        this.client = client;
        this.vmName = vmName;
        this.routers = routers;
        this.log = log;
    }

    /**
     * Returns the tokens that a router may lend.
     *
     * @param askedTokens the tokens that another router needs
     * @param freeTokens the free tokens of this router
     * @return the tokens to lend; 0 if there are none to spare
     */
    static long tokensToLend(long askedTokens, long freeTokens) {
        long spareTokens = (long) (Math.max(0, freeTokens) * (1 - KEPT_SHARE));
        return Math.min(Math.max(0, askedTokens), spareTokens);
    }

    /**
     * Tells whether a part of a loan helps the borrower. Smaller parts would spread the tokens of a budget over many
     * routers.
     *
     * @param askedTokens the tokens that another router needs
     * @param lendableTokens the tokens that this router can lend
     * @return true if such loans from all routers that are asked cover the need
     */
    static boolean isWorthLending(long askedTokens, long lendableTokens) {
        return lendableTokens >= askedTokens * MIN_LOAN_SHARE;
    }

    /**
     * Tells whether a router prefetches the tokens of a budget from the ledger.
     *
     * @param organisation the organisation
     * @param router the name of the router's VM
     * @return true if the router is among the holders of the budget, or is not in the list of routers
     */
    boolean isBudgetHolder(String organisation, String router) {
        List<RouterAddress> all = routers.get();
        return all.stream().noneMatch(address -> address.vmName().equals(router))
                || holders(organisation).stream()
                        .anyMatch(address -> address.vmName().equals(router));
    }

    /**
     * Returns the routers that prefetch the tokens of a budget. Routers that do not answer are replaced by the next
     * ones, so that a budget whose holders have all ended is still prefetched.
     *
     * @param organisation the organisation
     * @return the names of their VMs; empty if all routers of the fleet do
     */
    Set<String> holderVms(String organisation) {
        List<RouterAddress> all = routers.get();
        if (all.size() <= GrantRule.SMALL_FLEET) {
            return Set.of();
        }
        long nowNs = System.nanoTime();
        List<RouterAddress> holders = holders(organisation);
        if (holders.stream().anyMatch(router -> isSilent(router, nowNs))) {
            List<RouterAddress> answering =
                    all.stream().filter(router -> !isSilent(router, nowNs)).toList();
            holders = BudgetHolders.of(organisation, answering);
        }
        return holders.stream().map(RouterAddress::vmName).collect(Collectors.toSet());
    }

    /** Returns the holders of a budget among all routers, which are chosen anew only if the fleet changes. */
    private List<RouterAddress> holders(String organisation) {
        List<RouterAddress> all = routers.get();
        if (all != fleet) {
            fleet = all;
            holdersByOrganisation.clear();
        }
        return holdersByOrganisation.computeIfAbsent(organisation, name -> BudgetHolders.of(name, all));
    }

    /**
     * Asks the holders of a budget for tokens, one after the other, and then routers to which they have lent most.
     *
     * @param organisation the organisation
     * @param need the tokens that are needed
     * @param onLoan see {@link LoanSource#borrow}
     * @param onDone see {@link LoanSource#borrow}
     */
    void borrow(String organisation, LoanNeed need, LongConsumer onLoan, Consumer<LoanResult> onDone) {
        List<RouterAddress> peers = new ArrayList<>(routers.get());
        long nowNs = System.nanoTime();
        peers.removeIf(peer -> peer.vmName().equals(vmName) || isSilent(peer, nowNs));
        peers = new ArrayList<>(BudgetHolders.of(organisation, peers));
        Collections.shuffle(peers, ThreadLocalRandom.current());
        Lenders budgetLenders = lenders.computeIfAbsent(organisation, name -> new Lenders());
        List<RouterAddress> askedPeers =
                budgetLenders.toAsk(peers, need).stream().limit(MAX_PEERS).toList();
        Referrals referrals = new Referrals(vmName);
        askNext(new BorrowContext(organisation, budgetLenders, referrals, onLoan, onDone), need, askedPeers);
    }

    private void askNext(BorrowContext context, LoanNeed need, List<RouterAddress> peers) {
        if (need.neededTokens() <= 0) {
            context.onDone().accept(LoanResult.COVERED);
            return;
        }
        List<RouterAddress> toAsk = peers.isEmpty() ? referred(context, need) : peers;
        if (toAsk.isEmpty()) {
            context.onDone().accept(LoanResult.NOT_COVERED);
            return;
        }
        RouterAddress peer = toAsk.get(0);
        context.referrals().asked(peer.vmName());
        List<RouterAddress> remainingPeers = toAsk.subList(1, toAsk.size());
        LoanRequest request = new LoanRequest(
                tokens -> {
                    logLoan(context.organisation(), peer, need, tokens);
                    context.onLoan().accept(tokens);
                },
                tokens -> askNext(context, need.after(tokens), remainingPeers));
        traffic.schedule(
                () -> {
                    if (request.giveUpWaiting()) {
                        silentSinceNs.put(peer.vmName(), System.nanoTime());
                    }
                },
                ANSWER_WAIT_MS,
                TimeUnit.MILLISECONDS);
        client.request(peer.address(), message(context.organisation(), need), ANSWER_TIMEOUT_MS)
                .whenComplete((frame, failure) -> traffic.execute(() -> {
                    if (failure != null) {
                        request.answered(0);
                        return;
                    }
                    silentSinceNs.remove(peer.vmName());
                    long lentTokens = frame.getBorrowReply().getTokens();
                    context.lenders().answered(peer.vmName(), need, lentTokens);
                    context.referrals().named(frame.getBorrowReply().getBorrowerVmsList());
                    request.answered(lentTokens);
                }));
    }

    /** Returns the routers that are asked after the holders, as far as they have not lacked tokens lately. */
    private List<RouterAddress> referred(BorrowContext context, LoanNeed need) {
        List<String> named = context.referrals().take();
        long nowNs = System.nanoTime();
        List<RouterAddress> answering = routers.get().stream()
                .filter(router -> named.contains(router.vmName()) && !isSilent(router, nowNs))
                .toList();
        return context.lenders().toAsk(answering, need);
    }

    private Frame message(String organisation, LoanNeed need) {
        Borrow borrow = Borrow.newBuilder()
                .setVm(vmName)
                .setOrganisation(organisation)
                .setTransferId(Long.toHexString(ThreadLocalRandom.current().nextLong()))
                .setTokens(need.wantedTokens())
                .setRank(need.rank())
                .setCutOff(need.cutOff())
                .build();
        return Frame.newBuilder().setBorrow(borrow).build();
    }

    private void logLoan(String organisation, RouterAddress lender, LoanNeed need, long receivedTokens) {
        log.write(
                LogKind.BUDGET,
                "loan",
                "organisation",
                organisation,
                "from",
                lender.vmName(),
                "asked",
                need.wantedTokens(),
                "received",
                receivedTokens);
    }

    private boolean isSilent(RouterAddress peer, long nowNs) {
        Long since = silentSinceNs.get(peer.vmName());
        return since != null && nowNs - since < SILENT_PEER_NS;
    }

    /**
     * Builds the answer to a request for a loan.
     *
     * @param request the request
     * @param tokens the tokens lent
     * @param borrowerVms the VMs of other routers that may have tokens left
     * @return the message
     */
    static Frame reply(Borrow request, long tokens, List<String> borrowerVms) {
        return Frame.newBuilder()
                .setBorrowReply(BorrowReply.newBuilder()
                        .setTransferId(request.getTransferId())
                        .setTokens(tokens)
                        .addAllBorrowerVms(borrowerVms))
                .build();
    }

    /** What a sequence of loan requests to several routers has in common. */
    private record BorrowContext(
            String organisation,
            Lenders lenders,
            Referrals referrals,
            LongConsumer onLoan,
            Consumer<LoanResult> onDone) {}
}
