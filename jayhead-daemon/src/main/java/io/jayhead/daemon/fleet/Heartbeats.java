package io.jayhead.daemon.fleet;

import io.jayhead.admission.freshness.MemberList;
import io.jayhead.admission.freshness.PeerReply;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.VmName;
import io.jayhead.peer.pb.FleetPush;
import io.jayhead.peer.pb.FleetPushReply;
import io.jayhead.peer.pb.Frame;
import io.jayhead.peer.pb.Heartbeat;
import io.jayhead.peer.pb.HeartbeatReply;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Exchanges heartbeats and configuration with other routers; belongs to the control thread. */
public final class Heartbeats {

    private static final long TIMEOUT_MS = 1_000;

    private final Membership membership;
    private final Configuration configuration;
    private final PeerLinks links;
    private final HybridClock clock;
    private final List<InetSocketAddress> seeds;
    private final Supplier<Set<UpstreamName>> leavingUpstreams;
    private final Consumer<Set<UpstreamName>> onLeavingUpstreams;
    private final BooleanSupplier shuttingDown;
    private final IntSupplier chargePartitions;
    private final IntConsumer onChargePartitions;
    private final Map<VmName, Set<UpstreamName>> leavingByPeer = new HashMap<>();
    private boolean membersWanted;

    /**
     * Creates the exchange.
     *
     * @param membership the routers
     * @param configuration the configuration
     * @param links sends the requests
     * @param clock the clock
     * @param seeds addresses to ask while no router is known
     * @param hooks what else is exchanged
     */
    public Heartbeats(
            Membership membership,
            Configuration configuration,
            PeerLinks links,
            HybridClock clock,
            List<InetSocketAddress> seeds,
            Hooks hooks) {
        this.membership = membership;
        this.configuration = configuration;
        this.links = links;
        this.clock = clock;
        this.seeds = List.copyOf(seeds);
        this.leavingUpstreams = hooks.leavingUpstreams();
        this.onLeavingUpstreams = hooks.onLeavingUpstreams();
        this.shuttingDown = hooks.shuttingDown();
        this.chargePartitions = hooks.chargePartitions();
        this.onChargePartitions = hooks.onChargePartitions();
    }

    /**
     * What the heartbeats carry besides the configuration.
     *
     * @param leavingUpstreams gives the upstreams that this router knows to be leaving
     * @param onLeavingUpstreams receives those that peers know to be leaving
     * @param shuttingDown tells whether this router shuts down
     * @param chargePartitions gives the number of partitions of the charge log, 0 if unknown
     * @param onChargePartitions receives the number that a peer knows
     */
    public record Hooks(
            Supplier<Set<UpstreamName>> leavingUpstreams,
            Consumer<Set<UpstreamName>> onLeavingUpstreams,
            BooleanSupplier shuttingDown,
            IntSupplier chargePartitions,
            IntConsumer onChargePartitions) {}

    /** Sends a heartbeat to every known router. */
    public void sendAll() {
        membership.peers().forEach(peer -> send(peer.member().address()));
        if (membership.peers().isEmpty() || configuration.view().version() == 0) {
            seeds.forEach(this::send);
        }
    }

    /**
     * Sends the configuration in force to every known router.
     *
     * @param onReply called after each reply
     */
    public void pushAll(Runnable onReply) {
        membership.peers().forEach(peer -> push(peer.member().address(), onReply));
    }

    /**
     * Answers a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @return the reply
     */
    public Frame answer(Heartbeat heartbeat) {
        if (heartbeat.getFleetVersion() > configuration.view().version()) {
            fetch(Member.address(heartbeat.getPeerAddress()));
        }
        HeartbeatReply.Builder reply = HeartbeatReply.newBuilder()
                .setVm(membership.self().vm().value())
                .setIncarnation(membership.self().incarnation().value())
                .setAvailabilityZone(membership.self().zone().value())
                .setFleetVersion(configuration.view().version())
                .setListRevision(newestList().revision())
                .setListDigest(digest(newestList()))
                .setShuttingDown(shuttingDown.getAsBoolean())
                .setChargePartitions(chargePartitions.getAsInt());
        leavingUpstreams.get().forEach(upstream -> reply.addLeavingUpstreams(upstream.value()));
        configuration.platformAgeMs().ifPresent(reply::setPlatformConfirmedAgeMs);
        if (heartbeat.getWantMembers()) {
            membership.registered().forEach(member -> reply.addMembers(message(member)));
        }
        return Frame.newBuilder().setHeartbeatReply(reply).build();
    }

    /**
     * Answers a push: adopts the configuration, or returns the newer one in force here.
     *
     * @param push the push; an empty text only asks
     * @return the reply
     */
    public Frame answer(FleetPush push) {
        if (!push.getText().isEmpty()) {
            configuration.adopt(new FleetDocument(push.getVersion(), push.getChangeId(), push.getText()), "peer");
        }
        FleetDocument own = configuration.view().document();
        FleetPushReply.Builder reply = FleetPushReply.newBuilder()
                .setVm(membership.self().vm().value())
                .setVersion(own.version());
        if (own.version() > push.getVersion()) {
            reply.setChangeId(own.changeId()).setText(own.text());
        }
        return Frame.newBuilder().setFleetPushReply(reply).build();
    }

    private void send(InetSocketAddress address) {
        long sentAtMs = clock.nowMs();
        Heartbeat.Builder heartbeat = Heartbeat.newBuilder()
                .setVm(membership.self().vm().value())
                .setIncarnation(membership.self().incarnation().value())
                .setAvailabilityZone(membership.self().zone().value())
                .setFleetVersion(configuration.view().version())
                .setPeerAddress(membership.self().addressText())
                .setShuttingDown(shuttingDown.getAsBoolean())
                .setWantMembers(membersWanted || newestList().revision() == 0);
        Frame frame = Frame.newBuilder().setHeartbeat(heartbeat).build();
        links.send(address, frame, TIMEOUT_MS, reply -> received(address, reply, sentAtMs), () -> {});
    }

    private void received(InetSocketAddress address, Frame frame, long sentAtMs) {
        HeartbeatReply reply = frame.getHeartbeatReply();
        VmName vm = VmName.of(reply.getVm());
        learn(reply);
        if (reply.getFleetVersion() > configuration.view().version()) {
            fetch(address);
        }
        membership.heard(vm, reply.getFleetVersion(), reply.getShuttingDown());
        OptionalLong ageMs = reply.hasPlatformConfirmedAgeMs()
                ? OptionalLong.of(reply.getPlatformConfirmedAgeMs())
                : OptionalLong.empty();
        configuration.peerReplied(new PeerReply(vm, reply.getFleetVersion(), reply.getListRevision(), sentAtMs, ageMs));
        leavingByPeer.put(
                vm,
                reply.getLeavingUpstreamsList().stream().map(UpstreamName::of).collect(Collectors.toSet()));
        Set<UpstreamName> leaving = new HashSet<>();
        leavingByPeer.values().forEach(leaving::addAll);
        onLeavingUpstreams.accept(leaving);
    }

    /**
     * Takes a newer member list from a peer. Routers read the list at different revisions; during an outage of the
     * platform they would otherwise not count each other, because a member with a newer list does not count.
     */
    private void learn(HeartbeatReply reply) {
        if (reply.getChargePartitions() > 0) {
            onChargePartitions.accept(reply.getChargePartitions());
        }
        if (reply.getListRevision() <= newestList().revision()) {
            return;
        }
        if (reply.getListDigest().equals(digest(newestList()))) {
            configuration.registeredChanged(
                    new MemberList(reply.getListRevision(), newestList().members()));
            return;
        }
        if (reply.getMembersCount() == 0) {
            membersWanted = true;
            return;
        }
        membersWanted = false;
        List<Member> members =
                reply.getMembersList().stream().map(Heartbeats::member).toList();
        membership.learned(members);
        configuration.registeredChanged(new MemberList(
                reply.getListRevision(), members.stream().map(Member::vm).collect(Collectors.toSet())));
    }

    private MemberList newestList() {
        return configuration.tracker().members().newest();
    }

    private static String digest(MemberList list) {
        return RequestKey.sha256(
                list.members().stream().sorted().map(VmName::value).collect(Collectors.joining("/")));
    }

    private void fetch(InetSocketAddress address) {
        FleetPush ask = FleetPush.newBuilder()
                .setVersion(configuration.view().version())
                .build();
        exchange(address, ask, () -> {});
    }

    private void push(InetSocketAddress address, Runnable onReply) {
        FleetDocument own = configuration.view().document();
        FleetPush push = FleetPush.newBuilder()
                .setVersion(own.version())
                .setChangeId(own.changeId())
                .setText(own.text())
                .build();
        exchange(address, push, () -> {
            send(address);
            onReply.run();
        });
    }

    private void exchange(InetSocketAddress address, FleetPush push, Runnable onReply) {
        Frame frame = Frame.newBuilder().setFleetPush(push).build();
        links.send(
                address,
                frame,
                TIMEOUT_MS,
                answer -> {
                    FleetPushReply reply = answer.getFleetPushReply();
                    if (!reply.getText().isEmpty()) {
                        configuration.adopt(
                                new FleetDocument(reply.getVersion(), reply.getChangeId(), reply.getText()),
                                "peer " + reply.getVm());
                    }
                    onReply.run();
                },
                () -> {});
    }

    private static io.jayhead.peer.pb.Member message(Member member) {
        return io.jayhead.peer.pb.Member.newBuilder()
                .setVm(member.vm().value())
                .setIncarnation(member.incarnation().value())
                .setAvailabilityZone(member.zone().value())
                .setPeerAddress(member.addressText())
                .build();
    }

    private static Member member(io.jayhead.peer.pb.Member message) {
        return new Member(
                VmName.of(message.getVm()),
                IncarnationId.of(message.getIncarnation()),
                AvailabilityZone.of(message.getAvailabilityZone()),
                Member.address(message.getPeerAddress()));
    }
}
