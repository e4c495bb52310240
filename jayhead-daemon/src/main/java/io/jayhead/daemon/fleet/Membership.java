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

/** Registers this router in the platform and knows the other ones; belongs to the control thread. */
public final class Membership {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final String KIND = "member";

    /** Four missed heartbeats at the default period. */
    private static final long LIVE_MS = 2_000;

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
    private boolean busy;
    private boolean leaving;

    /**
     * Creates the membership of a router that is not registered yet.
     *
     * @param self this router
     * @param control the control thread
     * @param clock the clock
     * @param store the platform
     * @param editor edits objects of the platform
     * @param monitor whether the platform is down
     * @param configuration is told of the registered routers
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
     * Returns this router.
     *
     * @return the registration
     */
    public Member self() {
        return self;
    }

    /** Registers this router if needed, and reads the registered routers. */
    public void refresh() {
        if (busy || leaving || !monitor.mayTry()) {
            return;
        }
        busy = true;
        if (registered) {
            list();
        } else {
            register();
        }
    }

    /**
     * Returns the routers known, without this one.
     *
     * @return the states
     */
    public Collection<PeerState> peers() {
        return List.copyOf(peers.values());
    }

    /**
     * Returns the registered routers as this router last read them; empty before the first reading.
     *
     * @return the registrations, this one included
     */
    public List<Member> registered() {
        if (configuration.tracker().members().newest().revision() == 0) {
            return List.of();
        }
        List<Member> registrations =
                peers.values().stream().map(PeerState::member).collect(Collectors.toList());
        registrations.add(self);
        return registrations;
    }

    /**
     * Returns when the last successful reading of the registered routers was sent.
     *
     * @return the time, 0 before the first
     */
    public long listReadAtMs() {
        return listReadAtMs;
    }

    /**
     * Finds a router.
     *
     * @param vm the VM
     * @return its state, or empty if it is unknown
     */
    public Optional<PeerState> peer(VmName vm) {
        return Optional.ofNullable(peers.get(vm));
    }

    /**
     * Returns the live routers, this one included, in a fixed order.
     *
     * @return the registrations
     */
    public List<Member> live() {
        long nowMs = clock.nowMs();
        List<Member> live = peers.values().stream()
                .filter(peer -> peer.isLive(nowMs, LIVE_MS))
                .map(PeerState::member)
                .collect(Collectors.toList());
        if (!leaving) {
            live.add(self);
        }
        live.sort(Comparator.comparing(Member::vm));
        return live;
    }

    /**
     * Returns the live routers without this one; those of other availability zones come first.
     *
     * @return the registrations
     */
    public List<Member> livePeersOtherZonesFirst() {
        return live().stream()
                .filter(member -> !member.vm().equals(self.vm()))
                .sorted(Comparator.comparing(member -> member.zone().equals(self.zone())))
                .toList();
    }

    /**
     * Records what a router replied.
     *
     * @param vm the VM
     * @param fleetVersion the configuration version that it uses
     * @param shuttingDown whether it shuts down
     */
    public void heard(VmName vm, long fleetVersion, boolean shuttingDown) {
        peers.computeIfPresent(
                vm, (key, peer) -> new PeerState(peer.member(), clock.nowMs(), fleetVersion, shuttingDown));
    }

    /**
     * Adds routers that a peer knows; used while the platform does not answer.
     *
     * @param members the registrations
     */
    public void learned(List<Member> members) {
        members.stream()
                .filter(member -> !member.vm().equals(self.vm()))
                .forEach(member -> peers.putIfAbsent(member.vm(), PeerState.of(member)));
    }

    /** Stops to count as live and removes the registration. */
    public void leave() {
        leaving = true;
        remove(self);
    }

    /**
     * Removes a registration, unless its VM was registered anew.
     *
     * @param member the registration
     */
    public void remove(Member member) {
        String name = member.vm().value();
        store.read(KIND, name).thenAccept(read -> {
            boolean same = read.body()
                    .map(body -> Member.decode(name, body).equals(member))
                    .orElse(false);
            if (same && read instanceof ReadResult.Found found) {
                store.delete(KIND, name, found.object().version());
            }
        });
    }

    /** Marks this router as leaving, so that it owns no partition. */
    public void startLeaving() {
        leaving = true;
    }

    private void register() {
        editor.<String>edit(KIND, self.vm().value(), body -> Either.right(self.encode()))
                .thenAccept(result -> control.execute(() -> {
                    busy = false;
                    registered = result instanceof EditResult.Edited;
                    if (registered) {
                        configuration.registered();
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
                    busy = false;
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
        Map<VmName, PeerState> next = members.stream()
                .filter(member -> !member.vm().equals(self.vm()))
                .collect(Collectors.toMap(
                        Member::vm,
                        member -> Optional.ofNullable(peers.get(member.vm()))
                                .map(peer -> peer.withMember(member))
                                .orElseGet(() -> PeerState.of(member))));
        peers.clear();
        peers.putAll(next);
        configuration.registeredChanged(new MemberList(
                listed.revision(), members.stream().map(Member::vm).collect(Collectors.toSet())));
    }

    private static Member decode(StoredObject object) {
        return Member.decode(object.name(), object.body());
    }
}
