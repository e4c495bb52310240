package io.jayhead.daemon.fleet;

import com.google.common.flogger.FluentLogger;
import io.jayhead.admission.freshness.MemberList;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.model.Either;
import io.jayhead.model.VmName;
import io.jayhead.platform.EditResult;
import io.jayhead.platform.ListResult;
import io.jayhead.platform.ObjectEditor;
import io.jayhead.platform.ObjectStore;
import io.jayhead.platform.ReadResult;
import io.jayhead.platform.StoredObject;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Registers this router in the platform and tracks the other registered routers. Confined to the control thread.
 */
public final class Membership {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final String KIND = "member";

    /** Four missed heartbeats at the default period. */
    private static final long LIVENESS_TIMEOUT_MS = 2_000;

    private final Member self;
    private final ControlThread control;
    private final HybridClock clock;
    private final ObjectStore store;
    private final ObjectEditor editor;
    private final PlatformMonitor monitor;
    private final Configuration configuration;
    private final Map<VmName, PeerState> peers = new HashMap<>();
    private long listReadAtMs;
    private boolean registered;
    private boolean callInFlight;
    private boolean leaving;

    /**
     * Creates the membership of a router that is not registered yet.
     *
     * @param self the registration of this router
     * @param control the thread on which answers of the platform are handled
     * @param clock the time source
     * @param store reads, lists and deletes objects of the platform
     * @param editor edits objects of the platform
     * @param monitor tells when the platform may be called, and records whether it answers
     * @param configuration receives the list of registered routers after each read
     */
    public Membership(
            Member self,
            ControlThread control,
            HybridClock clock,
            ObjectStore store,
            ObjectEditor editor,
            PlatformMonitor monitor,
            Configuration configuration) {
        this.self = self;
        this.control = control;
        this.clock = clock;
        this.store = store;
        this.editor = editor;
        this.monitor = monitor;
        this.configuration = configuration;
    }

    /**
     * Returns the registration of this router.
     *
     * @return the registration
     */
    public Member self() {
        return self;
    }

    /**
     * Registers this router if it is not registered, and then reads the registered routers. Does nothing while an
     * earlier call is in flight, while backoff holds back calls to the platform, or once this router is leaving.
     */
    public void refresh() {
        if (callInFlight || leaving || !monitor.mayTry()) {
            return;
        }
        callInFlight = true;
        if (registered) {
            list();
        } else {
            register();
        }
    }

    /**
     * Returns the state of all known routers except this one.
     *
     * @return the states
     */
    public Collection<PeerState> peers() {
        return List.copyOf(peers.values());
    }

    /**
     * Returns the registered routers as last read from the platform or received from a peer.
     *
     * @return the registrations including that of this router; empty before the first member list is known
     */
    public List<Member> registeredRouters() {
        if (configuration.tracker().memberLists().newest().revision() == 0) {
            return List.of();
        }
        List<Member> registrations =
                peers.values().stream().map(PeerState::member).collect(Collectors.toList());
        registrations.add(self);
        return registrations;
    }

    /**
     * Returns the time at which the last successful read of the registered routers was sent.
     *
     * @return the time in milliseconds, 0 before the first read
     */
    public long listReadAtMs() {
        return listReadAtMs;
    }

    /**
     * Finds another router.
     *
     * @param vm the VM of the router
     * @return its state, or empty if it is unknown
     */
    public Optional<PeerState> peer(VmName vm) {
        return Optional.ofNullable(peers.get(vm));
    }

    /**
     * Returns the live routers, ordered by VM name. This router is included unless it is leaving.
     *
     * @return the registrations
     */
    public List<Member> live() {
        long nowMs = clock.nowMs();
        List<Member> live = peers.values().stream()
                .filter(peer -> peer.isLive(nowMs, LIVENESS_TIMEOUT_MS))
                .map(PeerState::member)
                .collect(Collectors.toList());
        if (!leaving) {
            live.add(self);
        }
        live.sort(Comparator.comparing(Member::vm));
        return live;
    }

    /**
     * Returns the live routers without this one, with those in other availability zones first.
     *
     * @return the registrations
     */
    public List<Member> livePeersOtherAvailabilityZonesFirst() {
        return live().stream()
                .filter(member -> !member.vm().equals(self.vm()))
                .sorted(Comparator.comparing(member -> member.zone().equals(self.zone())))
                .toList();
    }

    /**
     * Records the heartbeat reply of a router. A reply of an unknown router is ignored.
     *
     * @param vm the VM of the router
     * @param fleetVersion the configuration version in force at the router
     * @param shuttingDown whether the router is shutting down
     */
    public void recordReply(VmName vm, long fleetVersion, boolean shuttingDown) {
        peers.computeIfPresent(
                vm, (key, peer) -> new PeerState(peer.member(), clock.nowMs(), fleetVersion, shuttingDown));
    }

    /**
     * Adds routers that a peer knows, so that this router can reach them while the platform does not answer.
     *
     * @param members the registrations that the peer knows
     */
    public void addFromPeer(List<Member> members) {
        members.stream()
                .filter(member -> !member.vm().equals(self.vm()))
                .forEach(member -> peers.putIfAbsent(member.vm(), PeerState.of(member)));
    }

    /** Stops counting this router as live, and removes its registration from the platform. */
    public void leave() {
        leaving = true;
        remove(self);
    }

    /**
     * Removes a registration from the platform, unless a later registration of the same VM has replaced it.
     *
     * @param member the registration to remove
     */
    public void remove(Member member) {
        String name = member.vm().value();
        store.read(KIND, name).thenAccept(result -> {
            boolean unchanged = result.body()
                    .map(body -> Member.decode(name, body).equals(member))
                    .orElse(false);
            if (unchanged && result instanceof ReadResult.Found found) {
                store.delete(KIND, name, found.object().version());
            }
        });
    }

    /** Stops counting this router as live, so that it is no longer chosen as the owner of partitions. */
    public void startLeaving() {
        leaving = true;
    }

    private void register() {
        editor.<String>edit(KIND, self.vm().value(), body -> Either.right(self.encode()))
                .thenAccept(result -> control.execute(() -> {
                    callInFlight = false;
                    registered = result instanceof EditResult.Edited;
                    if (registered) {
                        configuration.recordRegistration();
                    }
                    monitor.record(registered);
                    LOGGER.atInfo().log(
                            "registration vm=%s incarnation=%s done=%s", self.vm(), self.incarnation(), registered);
                    refresh();
                }));
    }

    private void list() {
        long sentAtMs = clock.nowMs();
        store.list(KIND, "")
                .thenAccept(result -> control.execute(() -> {
                    callInFlight = false;
                    monitor.record(result instanceof ListResult.Listed);
                    if (result instanceof ListResult.Listed listed) {
                        update(listed);
                        listReadAtMs = sentAtMs;
                    }
                }));
    }

    private void update(ListResult.Listed listed) {
        List<Member> members = listed.objects().stream().map(Membership::decode).toList();
        registered = members.contains(self);
        Map<VmName, PeerState> updatedPeers = members.stream()
                .filter(member -> !member.vm().equals(self.vm()))
                .collect(Collectors.toMap(
                        Member::vm,
                        member -> Optional.ofNullable(peers.get(member.vm()))
                                .map(peer -> peer.withMember(member))
                                .orElseGet(() -> PeerState.of(member))));
        peers.clear();
        peers.putAll(updatedPeers);
        configuration.memberListChanged(new MemberList(
                listed.revision(), members.stream().map(Member::vm).collect(Collectors.toSet())));
    }

    private static Member decode(StoredObject object) {
        return Member.decode(object.name(), object.body());
    }
}
