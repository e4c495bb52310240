package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.LedgerEntry;
import io.jayhead.admission.prepaid.ReplicaChoice;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.pb.Frame;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Replicates this router's ledger entries to a few other routers, which report them if this router ends and the
 * platform comes back from a copy without them; used by the control thread.
 *
 * <p>Each replica gets one message at a time, with all entries that have changed since the last one it answered. A
 * router that does not answer is replaced by the next one for a while.
 */
final class EntryReplicator {

    private static final long ANSWER_TIMEOUT_MS = 500;
    /** A router that did not answer is not chosen for this time. */
    private static final long SILENCE_MS = 2_000;

    private final RouterAddress self;
    private final String holder;
    private final PeerClient peers;
    private final EventLoop loop;
    private final StructuredLog log;
    private final Map<String, Change> changes = new HashMap<>();
    private final Map<String, Replica> replicas = new HashMap<>();
    private List<RouterAddress> successors = List.of();
    private long lastChange;

    /**
     * Creates an instance that knows no other router.
     *
     * @param self the address of this router
     * @param holder the name of this incarnation in ledger pages
     * @param peers sends messages to other routers
     * @param loop the control thread
     * @param log receives the routers that do not answer
     */
    EntryReplicator(RouterAddress self, String holder, PeerClient peers, EventLoop loop, StructuredLog log) {
        this.self = self;
        this.holder = holder;
        this.peers = peers;
        this.loop = loop;
        this.log = log;
    }

    /** Takes over the routers of the fleet, which may change the replicas. */
    void routersChanged(List<RouterAddress> routers) {
        Map<String, RouterAddress> byVm = new HashMap<>();
        routers.forEach(router -> byVm.put(router.vmName(), router));
        successors = ReplicaChoice.successors(self.vmName(), byVm.keySet()).stream()
                .map(byVm::get)
                .toList();
        replicate();
    }

    /** Replicates entries of this router that a ledger page contains since its last reading. */
    void entriesChanged(Map<String, LedgerEntry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        lastChange++;
        entries.forEach((organisation, entry) -> changes.put(organisation, new Change(entry, lastChange)));
        replicate();
    }

    private void replicate() {
        long nowMs = System.nanoTime() / 1_000_000;
        successors.stream()
                .filter(router -> replica(router).silentUntilMs <= nowMs)
                .limit(ReplicaChoice.REPLICAS)
                .forEach(router -> send(router, replica(router)));
    }

    private Replica replica(RouterAddress router) {
        return replicas.computeIfAbsent(router.vmName(), name -> new Replica());
    }

    private void send(RouterAddress router, Replica replica) {
        if (replica.callInFlight || replica.answeredChange == lastChange) {
            return;
        }
        replica.callInFlight = true;
        long sentChange = lastChange;
        Frame message = ReplicationMessages.request(holder, changesAfter(replica.answeredChange));
        peers.request(router.address(), message, ANSWER_TIMEOUT_MS)
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    replica.callInFlight = false;
                    if (failure == null) {
                        replica.answered(reply.getReplicateEntriesReply().getHolder(), sentChange);
                        replicate();
                    } else {
                        failed(router, replica, failure);
                    }
                }));
    }

    private void failed(RouterAddress router, Replica replica, Throwable failure) {
        log.write(LogKind.BUDGET, "entries not replicated", "to", router.vmName(), "cause", failure);
        replica.silentUntilMs = System.nanoTime() / 1_000_000 + SILENCE_MS;
        loop.schedule(this::replicate, SILENCE_MS, TimeUnit.MILLISECONDS);
        replicate();
    }

    private Map<String, LedgerEntry> changesAfter(long change) {
        Map<String, LedgerEntry> entries = new HashMap<>();
        changes.forEach((organisation, changed) -> {
            if (changed.number() > change) {
                entries.put(organisation, changed.entry());
            }
        });
        return entries;
    }

    /** An entry and the number of its last change. */
    private record Change(LedgerEntry entry, long number) {}

    /** What another router has answered. */
    private static final class Replica {

        private String receiver = "";
        private long answeredChange;
        private boolean callInFlight;
        private long silentUntilMs = Long.MIN_VALUE;

        /** Records an answer; a new incarnation has lost what the earlier one was sent. */
        private void answered(String answeringReceiver, long change) {
            boolean sameIncarnation = receiver.isEmpty() || receiver.equals(answeringReceiver);
            receiver = answeringReceiver;
            answeredChange = sameIncarnation ? change : 0;
        }
    }
}
