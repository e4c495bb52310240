package io.jayhead.daemon.charge;

import com.google.common.flogger.FluentLogger;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.daemon.fleet.Membership;
import io.jayhead.daemon.fleet.PeerLinks;
import io.jayhead.daemon.fleet.PlatformMonitor;
import io.jayhead.daemon.observe.DecisionLog;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.peer.pb.Append;
import io.jayhead.peer.pb.AppendOutcome;
import io.jayhead.peer.pb.AppendReply;
import io.jayhead.peer.pb.Frame;
import io.jayhead.peer.pb.HoldCharges;
import io.jayhead.peer.pb.HoldChargesReply;
import io.jayhead.peer.pb.ReleaseCharges;
import io.jayhead.peer.pb.ReleaseChargesReply;
import io.jayhead.platform.ObjectEditor;
import io.jayhead.platform.ObjectStore;
import io.jayhead.settlement.charge.ChargeBatchCodec;
import io.jayhead.settlement.charge.ChargeEntry;
import io.jayhead.settlement.charge.ChargeLogSettings;
import io.jayhead.settlement.charge.ChargeOutcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Commits charges to the charge log. Confined to the control thread.
 *
 * <p>The owner of a partition merges the charges of many routers into one write (group commit). The owner is chosen
 * among the live routers by rendezvous hashing. Routers need not agree on the owner: if two of them write the same
 * slot, the conditional create lets only one succeed.
 */
public final class ChargeService {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long APPEND_TIMEOUT_MS = 400;

    /** Delay until peers are asked to hold an uncommitted charge, so that the answer to the caller can end. */
    private static final long HOLD_DELAY_MS = 1_500;

    private static final long HOLD_TIMEOUT_MS = 700;

    private static final int HOLDER_COUNT = 2;

    private final ChargeLogSettings settings;
    private final ChargeLayout layout;
    private final ControlThread control;
    private final HybridClock clock;
    private final Membership membership;
    private final PeerLinks links;
    private final ObjectStore store;
    private final ObjectEditor editor;
    private final PlatformMonitor monitor;
    private final DecisionLog decisions;
    private final Map<Integer, PartitionWriter> writers = new HashMap<>();
    private final Map<RequestKey, List<Member>> holdersByRequest = new HashMap<>();
    private final HeldCharges heldCharges = new HeldCharges();
    private final RecentCommits recentCommits = new RecentCommits();
    private final PendingAppends pendingAppends = new PendingAppends();

    /**
     * Creates the service.
     *
     * @param settings the parameters of the charge log
     * @param layout gives the number of partitions
     * @param control the thread on which replies are handled
     * @param clock the time source
     * @param membership lists the live routers
     * @param links sends charges to other routers
     * @param store reads, creates and deletes slots in the platform
     * @param editor edits checkpoints in the platform
     * @param monitor tells whether the platform is down
     * @param decisions the log of settlement decisions
     */
    public ChargeService(
            ChargeLogSettings settings,
            ChargeLayout layout,
            ControlThread control,
            HybridClock clock,
            Membership membership,
            PeerLinks links,
            ObjectStore store,
            ObjectEditor editor,
            PlatformMonitor monitor,
            DecisionLog decisions) {
        this.settings = settings;
        this.layout = layout;
        this.control = control;
        this.clock = clock;
        this.membership = membership;
        this.links = links;
        this.store = store;
        this.editor = editor;
        this.monitor = monitor;
        this.decisions = decisions;
    }

    /**
     * Commits a charge, through the owner of its partition if that is another router.
     *
     * @param entry the charge
     * @param callback receives the result once, on the control thread
     */
    public void commit(ChargeEntry entry, Consumer<ChargeResult> callback) {
        if (!recentCommits.registerIfFirst(entry.key(), callback)) {
            return;
        }
        PendingCommit commit = new PendingCommit(entry, result -> {
            callback.accept(result);
            recentCommits.complete(entry.key(), result);
        });
        Member owner = ownerOf(entry.key());
        if (owner.equals(membership.self())) {
            appendLocally(commit);
        } else {
            appendAtOwner(owner, commit);
        }
        control.after(HOLD_DELAY_MS, () -> {
            if (!commit.done) {
                hold(commit);
            }
        });
    }

    /**
     * Returns the router that owns the partition of a request.
     *
     * @param key the key of the request
     * @return the owner among the routers that this router considers live
     */
    public Member ownerOf(RequestKey key) {
        int partition = partitionOf(key);
        return membership.live().stream()
                .max(Comparator.comparing(member -> RequestKey.sha256(partition + "/" + member.vm())))
                .orElse(membership.self());
    }

    /**
     * Appends charges that another router sent to this one as the owner of their partition.
     *
     * @param append the charges
     * @return the reply, with one outcome per charge
     */
    public CompletableFuture<Frame> answer(Append append) {
        List<CompletableFuture<AppendOutcome>> outcomes = append.getEntriesList().stream()
                .map(ChargeBatchCodec::decodeEntry)
                .map(this::appendForPeer)
                .toList();
        return CompletableFuture.allOf(outcomes.toArray(CompletableFuture[]::new))
                .thenApply(allAppended -> Frame.newBuilder()
                        .setAppendReply(AppendReply.newBuilder()
                                .addAllOutcomes(outcomes.stream()
                                        .map(CompletableFuture::join)
                                        .toList()))
                        .build());
    }

    /**
     * Holds charges of another router until it releases them or this router writes them.
     *
     * @param request the charges
     * @return the reply
     */
    public Frame answer(HoldCharges request) {
        request.getEntriesList().stream()
                .map(ChargeBatchCodec::decodeEntry)
                .forEach(entry -> heldCharges.hold(entry, clock.nowMs()));
        return Frame.newBuilder()
                .setHoldChargesReply(HoldChargesReply.newBuilder().setHeld(true))
                .build();
    }

    /**
     * Drops held charges that their sender has committed.
     *
     * @param request the keys of the charged requests
     * @return the reply
     */
    public Frame answer(ReleaseCharges request) {
        heldCharges.release(
                request.getRequestKeysList().stream().map(RequestKey::new).toList());
        return Frame.newBuilder()
                .setReleaseChargesReply(ReleaseChargesReply.newBuilder())
                .build();
    }

    /**
     * Commits the charges of a lost router that this router holds or has not written yet.
     *
     * @param incarnation the incarnation of the lost router
     * @return a future that completes when all of them are in the charge log
     */
    public CompletableFuture<Void> commitPending(IncarnationId incarnation) {
        heldCharges.sentBy(incarnation).forEach(this::commitHeldCharge);
        return CompletableFuture.allOf(pendingAppends.sentBy(incarnation).toArray(CompletableFuture[]::new));
    }

    /** Writes batches whose linger time has passed, and held charges that their sender did not release in time. */
    public void tick() {
        writers.values().stream()
                .filter(writer -> writer.pendingCharges() > 0)
                .toList()
                .forEach(PartitionWriter::tick);
        if (!monitor.isDown()) {
            heldCharges.due(clock.nowMs()).forEach(this::commitHeldCharge);
        }
    }

    /**
     * Returns the number of charges, of this and other routers, that this router still has to write to the log; for the
     * shutdown and metrics.
     *
     * @return the number of charges
     */
    public int pendingCharges() {
        return writers.values().stream()
                .mapToInt(PartitionWriter::pendingCharges)
                .sum();
    }

    /**
     * Returns the number of charges that this router holds for other routers.
     *
     * @return the number of charges
     */
    public int heldCharges() {
        return heldCharges.size();
    }

    private int partitionOf(RequestKey key) {
        return key.partition(Math.max(1, layout.partitions()));
    }

    private PartitionWriter writer(RequestKey key) {
        return writers.computeIfAbsent(
                partitionOf(key),
                partition -> new PartitionWriter(partition, settings, control, clock, store, editor, monitor));
    }

    private void appendLocally(PendingCommit commit) {
        writer(commit.entry.key()).append(commit.entry, outcome -> onOutcome(commit, outcome));
    }

    private void appendAtOwner(Member owner, PendingCommit commit) {
        Append append = Append.newBuilder()
                .setPartition(partitionOf(commit.entry.key()))
                .addEntries(ChargeBatchCodec.encodeEntry(commit.entry))
                .build();
        links.send(
                owner.address(),
                Frame.newBuilder().setAppend(append).build(),
                APPEND_TIMEOUT_MS,
                reply -> onAppendReply(commit, reply.getAppendReply().getOutcomes(0)),
                () -> retryLocally(commit));
    }

    private void retryLocally(PendingCommit commit) {
        commit.sentTwice = true;
        appendLocally(commit);
    }

    private void onAppendReply(PendingCommit commit, AppendOutcome outcome) {
        switch (outcome.getStatus()) {
            case COMMITTED -> commit.complete(ChargeResult.COMMITTED);
            case DUPLICATE ->
                onOutcome(commit, new ChargeOutcome.Duplicate(ChargeBatchCodec.decodeEntry(outcome.getFirstEntry())));
            default -> retryLocally(commit);
        }
    }

    private void onOutcome(PendingCommit commit, ChargeOutcome outcome) {
        if (outcome instanceof ChargeOutcome.Held) {
            hold(commit);
            return;
        }
        releaseHolders(commit.entry.key());
        if (outcome instanceof ChargeOutcome.Duplicate duplicate
                && !duplicate.first().equals(commit.entry)) {
            commit.complete(ChargeResult.DUPLICATE);
            return;
        }
        if (outcome instanceof ChargeOutcome.Unresolved) {
            LOGGER.atSevere().log("charge unresolved request=%s outcome=%s", commit.entry.key(), outcome);
        }
        commit.complete(ChargeResult.COMMITTED);
    }

    /** Asks two peers to hold the charge, and asks another peer for each one that does not answer. */
    private void hold(PendingCommit commit) {
        if (commit.holdRequested || commit.done) {
            return;
        }
        commit.holdRequested = true;
        int holdersNeeded =
                Math.min(HOLDER_COUNT, Math.max(1, membership.peers().size()));
        HoldCharges request = HoldCharges.newBuilder()
                .setVm(membership.self().vm().value())
                .setIncarnation(membership.self().incarnation().value())
                .addEntries(ChargeBatchCodec.encodeEntry(commit.entry))
                .build();
        Frame frame = Frame.newBuilder().setHoldCharges(request).build();
        Iterator<Member> candidates =
                membership.livePeersOtherAvailabilityZonesFirst().iterator();
        List<Member> confirmedHolders = new ArrayList<>();
        for (int index = 0; index < holdersNeeded; index++) {
            holdAtNext(commit, frame, candidates, confirmedHolders, holdersNeeded);
        }
    }

    private void holdAtNext(
            PendingCommit commit,
            Frame frame,
            Iterator<Member> candidates,
            List<Member> confirmedHolders,
            int holdersNeeded) {
        if (!candidates.hasNext()) {
            failUnheld(commit);
            return;
        }
        Member peer = candidates.next();
        links.send(
                peer.address(),
                frame,
                HOLD_TIMEOUT_MS,
                reply -> {
                    confirmedHolders.add(peer);
                    holdersByRequest.put(commit.entry.key(), confirmedHolders);
                    if (confirmedHolders.size() == holdersNeeded) {
                        decisions.record(
                                "settlement", commit.entry.key().value(), "charge=held holders=%s", confirmedHolders);
                        commit.complete(ChargeResult.HELD);
                    }
                },
                () -> holdAtNext(commit, frame, candidates, confirmedHolders, holdersNeeded));
    }

    private void failUnheld(PendingCommit commit) {
        if (commit.done) {
            return;
        }
        LOGGER.atWarning().log("charge not held request=%s", commit.entry.key());
        commit.complete(ChargeResult.FAILED);
    }

    private void releaseHolders(RequestKey key) {
        List<Member> holders = holdersByRequest.remove(key);
        if (holders == null) {
            return;
        }
        ReleaseCharges request = ReleaseCharges.newBuilder()
                .setIncarnation(membership.self().incarnation().value())
                .addRequestKeys(key.value())
                .build();
        Frame frame = Frame.newBuilder().setReleaseCharges(request).build();
        holders.forEach(peer -> links.send(peer.address(), frame, HOLD_TIMEOUT_MS, reply -> {}, () -> {}));
    }

    private void commitHeldCharge(ChargeEntry entry) {
        CompletableFuture<Void> committed = pendingAppends.add(entry);
        writer(entry.key()).append(entry, outcome -> {
            if (!(outcome instanceof ChargeOutcome.Held)) {
                LOGGER.atInfo().log("held charge written request=%s outcome=%s", entry.key(), outcome);
                heldCharges.release(List.of(entry.key()));
                completeIfInLog(committed, outcome);
            }
        });
    }

    private CompletableFuture<AppendOutcome> appendForPeer(ChargeEntry entry) {
        CompletableFuture<AppendOutcome> reply = new CompletableFuture<>();
        CompletableFuture<Void> committed = pendingAppends.add(entry);
        writer(entry.key()).append(entry, outcome -> {
            reply.complete(AppendOutcomes.toMessage(outcome));
            completeIfInLog(committed, outcome);
        });
        return reply;
    }

    private static void completeIfInLog(CompletableFuture<Void> committed, ChargeOutcome outcome) {
        if (outcome instanceof ChargeOutcome.Committed || outcome instanceof ChargeOutcome.Duplicate) {
            committed.complete(null);
        }
    }
}
