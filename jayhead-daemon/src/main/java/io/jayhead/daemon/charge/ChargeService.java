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
 * Commits charges; belongs to the control thread.
 *
 * <p>The owner of a partition merges the charges of many routers into one write. Ownership follows the live routers
 * by rendezvous hashing and needs no agreement: the conditional create of a slot decides between two writers.
 */
public final class ChargeService {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long APPEND_TIMEOUT_MS = 400;

    /** A charge that is neither committed nor held by then is held by peers, so that the answer can end. */
    private static final long HOLD_AFTER_MS = 1_500;

    private static final long HOLD_TIMEOUT_MS = 700;

    private static final int HOLDERS = 2;

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
    private final Map<RequestKey, List<Member>> holders = new HashMap<>();
    private final HeldCharges held = new HeldCharges();
    private final RecentCommits recent = new RecentCommits();
    private final OpenAppends appends = new OpenAppends();

    /**
     * Creates the service.
     *
     * @param settings the parameters of the charge log
     * @param layout knows the number of partitions
     * @param control the control thread
     * @param clock the clock
     * @param membership the routers
     * @param links sends requests to other routers
     * @param store the platform
     * @param editor edits objects of the platform
     * @param monitor whether the platform is down
     * @param decisions the decision log
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
     * Commits a charge.
     *
     * @param entry the charge
     * @param callback is told the result once, on the control thread
     */
    public void commit(ChargeEntry entry, Consumer<ChargeResult> callback) {
        if (!recent.isFirst(entry.key(), callback)) {
            return;
        }
        PendingCommit commit = new PendingCommit(entry, result -> {
            callback.accept(result);
            recent.complete(entry.key(), result);
        });
        Member owner = ownerOf(entry.key());
        if (owner.equals(membership.self())) {
            appendHere(commit);
        } else {
            appendAt(owner, commit);
        }
        control.after(HOLD_AFTER_MS, () -> {
            if (!commit.done) {
                hold(commit);
            }
        });
    }

    /**
     * Returns the router that owns the partition of a request.
     *
     * @param key the request
     * @return the owner as this router sees it
     */
    public Member ownerOf(RequestKey key) {
        int partition = partitionOf(key);
        return membership.live().stream()
                .max(Comparator.comparing(member -> RequestKey.sha256(partition + "/" + member.vm())))
                .orElse(membership.self());
    }

    /**
     * Answers a router that sends charges to this partition owner.
     *
     * @param append the charges
     * @return the reply
     */
    public CompletableFuture<Frame> answer(Append append) {
        List<CompletableFuture<AppendOutcome>> outcomes = append.getEntriesList().stream()
                .map(ChargeBatchCodec::decodeEntry)
                .map(this::appendForPeer)
                .toList();
        return CompletableFuture.allOf(outcomes.toArray(CompletableFuture[]::new))
                .thenApply(done -> Frame.newBuilder()
                        .setAppendReply(AppendReply.newBuilder()
                                .addAllOutcomes(outcomes.stream()
                                        .map(CompletableFuture::join)
                                        .toList()))
                        .build());
    }

    /**
     * Keeps charges of another router.
     *
     * @param request the charges
     * @return the reply
     */
    public Frame answer(HoldCharges request) {
        request.getEntriesList().stream()
                .map(ChargeBatchCodec::decodeEntry)
                .forEach(entry -> held.hold(entry, clock.nowMs()));
        return Frame.newBuilder()
                .setHoldChargesReply(HoldChargesReply.newBuilder().setHeld(true))
                .build();
    }

    /**
     * Drops charges that another router has committed.
     *
     * @param request the keys
     * @return the reply
     */
    public Frame answer(ReleaseCharges request) {
        held.release(request.getRequestKeysList().stream().map(RequestKey::new).toList());
        return Frame.newBuilder()
                .setReleaseChargesReply(ReleaseChargesReply.newBuilder())
                .build();
    }

    /**
     * Commits the charges of a lost router that this one has pending or holds.
     *
     * @param holder the lost router
     * @return done when all of them are in the log
     */
    public CompletableFuture<Void> commitPending(IncarnationId holder) {
        held.of(holder).forEach(this::writeHeld);
        return CompletableFuture.allOf(appends.of(holder).toArray(CompletableFuture[]::new));
    }

    /** Lets time pass: writes batches whose linger is over and charges that are held too long. */
    public void tick() {
        writers.values().stream()
                .filter(writer -> writer.pendingCharges() > 0)
                .toList()
                .forEach(PartitionWriter::tick);
        if (!monitor.isDown()) {
            held.due(clock.nowMs()).forEach(this::writeHeld);
        }
    }

    /**
     * Returns the charges that are not committed yet, for the shutdown and metrics.
     *
     * @return the number
     */
    public int pendingCharges() {
        return writers.values().stream()
                .mapToInt(PartitionWriter::pendingCharges)
                .sum();
    }

    /**
     * Returns the charges held for other routers.
     *
     * @return the number
     */
    public int heldCharges() {
        return held.size();
    }

    private int partitionOf(RequestKey key) {
        return key.partition(Math.max(1, layout.partitions()));
    }

    private PartitionWriter writer(RequestKey key) {
        return writers.computeIfAbsent(
                partitionOf(key),
                partition -> new PartitionWriter(partition, settings, control, clock, store, editor, monitor));
    }

    private void appendHere(PendingCommit commit) {
        writer(commit.entry.key()).append(commit.entry, outcome -> resolved(commit, outcome));
    }

    private void appendAt(Member owner, PendingCommit commit) {
        Append append = Append.newBuilder()
                .setPartition(partitionOf(commit.entry.key()))
                .addEntries(ChargeBatchCodec.encodeEntry(commit.entry))
                .build();
        links.send(
                owner.address(),
                Frame.newBuilder().setAppend(append).build(),
                APPEND_TIMEOUT_MS,
                reply -> answered(commit, reply.getAppendReply().getOutcomes(0)),
                () -> appendAgain(commit));
    }

    private void appendAgain(PendingCommit commit) {
        commit.sentTwice = true;
        appendHere(commit);
    }

    private void answered(PendingCommit commit, AppendOutcome outcome) {
        switch (outcome.getStatus()) {
            case COMMITTED -> commit.complete(ChargeResult.COMMITTED);
            case DUPLICATE ->
                resolved(commit, new ChargeOutcome.Duplicate(ChargeBatchCodec.decodeEntry(outcome.getFirstEntry())));
            default -> appendAgain(commit);
        }
    }

    private void resolved(PendingCommit commit, ChargeOutcome outcome) {
        if (outcome instanceof ChargeOutcome.Held) {
            hold(commit);
            return;
        }
        release(commit.entry.key());
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

    /** Asks two peers to hold the charge, and further ones if those do not answer. */
    private void hold(PendingCommit commit) {
        if (commit.holding || commit.done) {
            return;
        }
        commit.holding = true;
        int needed = Math.min(HOLDERS, Math.max(1, membership.peers().size()));
        HoldCharges request = HoldCharges.newBuilder()
                .setVm(membership.self().vm().value())
                .setIncarnation(membership.self().incarnation().value())
                .addEntries(ChargeBatchCodec.encodeEntry(commit.entry))
                .build();
        Frame frame = Frame.newBuilder().setHoldCharges(request).build();
        Iterator<Member> candidates = membership.livePeersOtherAvailabilityZonesFirst().iterator();
        List<Member> accepted = new ArrayList<>();
        for (int holder = 0; holder < needed; holder++) {
            holdAtNext(commit, frame, candidates, accepted, needed);
        }
    }

    private void holdAtNext(
            PendingCommit commit, Frame frame, Iterator<Member> candidates, List<Member> accepted, int needed) {
        if (!candidates.hasNext()) {
            notHeld(commit);
            return;
        }
        Member peer = candidates.next();
        links.send(
                peer.address(),
                frame,
                HOLD_TIMEOUT_MS,
                reply -> {
                    accepted.add(peer);
                    holders.put(commit.entry.key(), accepted);
                    if (accepted.size() == needed) {
                        decisions.record("settlement", commit.entry.key().value(), "charge=held holders=%s", accepted);
                        commit.complete(ChargeResult.HELD);
                    }
                },
                () -> holdAtNext(commit, frame, candidates, accepted, needed));
    }

    private void notHeld(PendingCommit commit) {
        if (commit.done) {
            return;
        }
        LOGGER.atWarning().log("charge not held request=%s", commit.entry.key());
        commit.complete(ChargeResult.FAILED);
    }

    private void release(RequestKey key) {
        List<Member> released = holders.remove(key);
        if (released == null) {
            return;
        }
        ReleaseCharges request = ReleaseCharges.newBuilder()
                .setIncarnation(membership.self().incarnation().value())
                .addRequestKeys(key.value())
                .build();
        Frame frame = Frame.newBuilder().setReleaseCharges(request).build();
        released.forEach(peer -> links.send(peer.address(), frame, HOLD_TIMEOUT_MS, reply -> {}, () -> {}));
    }

    private void writeHeld(ChargeEntry entry) {
        CompletableFuture<Void> committed = appends.add(entry);
        writer(entry.key()).append(entry, outcome -> {
            if (!(outcome instanceof ChargeOutcome.Held)) {
                LOGGER.atInfo().log("held charge written request=%s outcome=%s", entry.key(), outcome);
                held.release(List.of(entry.key()));
                settle(committed, outcome);
            }
        });
    }

    private CompletableFuture<AppendOutcome> appendForPeer(ChargeEntry entry) {
        CompletableFuture<AppendOutcome> reply = new CompletableFuture<>();
        CompletableFuture<Void> committed = appends.add(entry);
        writer(entry.key()).append(entry, outcome -> {
            reply.complete(AppendOutcomes.message(outcome));
            settle(committed, outcome);
        });
        return reply;
    }

    private static void settle(CompletableFuture<Void> committed, ChargeOutcome outcome) {
        if (outcome instanceof ChargeOutcome.Committed || outcome instanceof ChargeOutcome.Duplicate) {
            committed.complete(null);
        }
    }
}
