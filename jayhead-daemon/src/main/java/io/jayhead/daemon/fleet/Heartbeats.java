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

/**
 * Exchanges heartbeats, configuration and member lists with the other routers. Confined to the control thread.
 */
public final class Heartbeats {

    private static final long REQUEST_TIMEOUT_MS = 1_000;

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
     * @param membership the known routers
     * @param configuration the configuration of this router
     * @param links sends requests to other routers
     * @param clock the time source
     * @param seeds peer addresses to contact while no other router is known or no configuration was adopted
     * @param hooks the suppliers and receivers of the other data that heartbeats carry
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
     * Supplies and receives the data of other components that heartbeats carry.
     *
     * @param leavingUpstreams supplies the upstreams that this router knows to be leaving
     * @param onLeavingUpstreams receives all upstreams that peers know to be leaving, after each reply
     * @param shuttingDown tells whether this router is shutting down
     * @param chargePartitions supplies the number of partitions of the charge log, 0 if unknown
     * @param onChargePartitions receives the number of partitions that a peer knows, never 0
     */
    public record Hooks(
            Supplier<Set<UpstreamName>> leavingUpstreams,
            Consumer<Set<UpstreamName>> onLeavingUpstreams,
            BooleanSupplier shuttingDown,
            IntSupplier chargePartitions,
            IntConsumer onChargePartitions) {}

    /**
     * Sends a heartbeat to every known router. The seeds receive one too while no other router is known or no
     * configuration was adopted.
     */
    public void sendAll() {
        membership.peers().forEach(peer -> send(peer.member().address()));
        if (membership.peers().isEmpty() || configuration.view().version() == 0) {
            seeds.forEach(this::send);
        }
    }

    /**
     * Sends the configuration in force to every known router.
     *
     * @param onReply called after the reply of each router
     */
    public void pushAll(Runnable onReply) {
        membership.peers().forEach(peer -> push(peer.member().address(), onReply));
    }

    /**
     * Answers a heartbeat, and fetches the configuration of the sender if it is newer.
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
            membership.registeredRouters().forEach(member -> reply.addMembers(toMessage(member)));
        }
        return Frame.newBuilder().setHeartbeatReply(reply).build();
    }

    /**
     * Answers a configuration push: adopts the pushed configuration, or replies with the one in force here if that is
     * newer.
     *
     * @param push the push; one with an empty text only requests the configuration of this router
     * @return the reply
     */
    public Frame answer(FleetPush push) {
        if (!push.getText().isEmpty()) {
            configuration.adopt(new FleetDocument(push.getVersion(), push.getChangeId(), push.getText()), "peer");
        }
        FleetDocument inForce = configuration.view().document();
        FleetPushReply.Builder reply = FleetPushReply.newBuilder()
                .setVm(membership.self().vm().value())
                .setVersion(inForce.version());
        if (inForce.version() > push.getVersion()) {
            reply.setChangeId(inForce.changeId()).setText(inForce.text());
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
        links.send(address, frame, REQUEST_TIMEOUT_MS, reply -> onHeartbeatReply(address, reply, sentAtMs), () -> {});
    }

    private void onHeartbeatReply(InetSocketAddress address, Frame frame, long sentAtMs) {
        HeartbeatReply reply = frame.getHeartbeatReply();
        VmName vm = VmName.of(reply.getVm());
        adoptFrom(reply);
        if (reply.getFleetVersion() > configuration.view().version()) {
            fetch(address);
        }
        membership.recordReply(vm, reply.getFleetVersion(), reply.getShuttingDown());
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
     * Adopts the number of partitions and a newer member list from a peer. Routers read the member list at different
     * revisions, and a member with a newer list does not count towards a majority. Without this exchange, routers with
     * different revisions would not count each other's confirmations during an outage of the platform.
     */
    private void adoptFrom(HeartbeatReply reply) {
        if (reply.getChargePartitions() > 0) {
            onChargePartitions.accept(reply.getChargePartitions());
        }
        if (reply.getListRevision() <= newestList().revision()) {
            return;
        }
        if (reply.getListDigest().equals(digest(newestList()))) {
            configuration.memberListChanged(
                    new MemberList(reply.getListRevision(), newestList().members()));
            return;
        }
        if (reply.getMembersCount() == 0) {
            membersWanted = true;
            return;
        }
        membersWanted = false;
        List<Member> members =
                reply.getMembersList().stream().map(Heartbeats::fromMessage).toList();
        membership.addFromPeer(members);
        configuration.memberListChanged(new MemberList(
                reply.getListRevision(), members.stream().map(Member::vm).collect(Collectors.toSet())));
    }

    private MemberList newestList() {
        return configuration.tracker().memberLists().newest();
    }

    private static String digest(MemberList list) {
        return RequestKey.sha256(
                list.members().stream().sorted().map(VmName::value).collect(Collectors.joining("/")));
    }

    private void fetch(InetSocketAddress address) {
        FleetPush request = FleetPush.newBuilder()
                .setVersion(configuration.view().version())
                .build();
        exchange(address, request, () -> {});
    }

    private void push(InetSocketAddress address, Runnable onReply) {
        FleetDocument inForce = configuration.view().document();
        FleetPush push = FleetPush.newBuilder()
                .setVersion(inForce.version())
                .setChangeId(inForce.changeId())
                .setText(inForce.text())
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
                REQUEST_TIMEOUT_MS,
                replyFrame -> {
                    FleetPushReply reply = replyFrame.getFleetPushReply();
                    if (!reply.getText().isEmpty()) {
                        configuration.adopt(
                                new FleetDocument(reply.getVersion(), reply.getChangeId(), reply.getText()),
                                "peer " + reply.getVm());
                    }
                    onReply.run();
                },
                () -> {});
    }

    private static io.jayhead.peer.pb.Member toMessage(Member member) {
        return io.jayhead.peer.pb.Member.newBuilder()
                .setVm(member.vm().value())
                .setIncarnation(member.incarnation().value())
                .setAvailabilityZone(member.zone().value())
                .setPeerAddress(member.addressText())
                .build();
    }

    private static Member fromMessage(io.jayhead.peer.pb.Member message) {
        return new Member(
                VmName.of(message.getVm()),
                IncarnationId.of(message.getIncarnation()),
                AvailabilityZone.of(message.getAvailabilityZone()),
                Member.address(message.getPeerAddress()));
    }
}
