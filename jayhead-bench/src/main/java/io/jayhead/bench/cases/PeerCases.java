package io.jayhead.bench.cases;

import com.google.protobuf.InvalidProtocolBufferException;
import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Operation;
import io.jayhead.peer.pb.Frame;
import io.jayhead.peer.pb.Heartbeat;
import io.jayhead.peer.pb.HeartbeatReply;
import io.jayhead.peer.pb.Member;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Measures encoding and decoding of the messages between routers, without the network. */
final class PeerCases {

    private static final Series LEAVING = Series.of("leaving upstreams", 0, 6, 60);
    private static final Series MEMBERS = Series.of("members listed", 6, 30, 100, 330);
    private static final String INCARNATION = "00000000-0000-0000-0000-000000000001";
    private static final String ADDRESS = "10.0.0.1:7001";

    private PeerCases() {}

    static List<BenchCase> of() {
        return Stream.of(
                        LEAVING.timed("peers: heartbeat and reply", PeerCases::heartbeatExchange),
                        LEAVING.encoded(
                                "peers: heartbeat and reply",
                                size -> heartbeat().getSerializedSize()
                                        + reply(size, 0).getSerializedSize()),
                        MEMBERS.timed("peers: reply with members", size -> encodeAndDecode(() -> reply(0, size))),
                        MEMBERS.encoded(
                                "peers: reply with members",
                                size -> reply(0, size).getSerializedSize()))
                .flatMap(cases -> cases)
                .toList();
    }

    /**
     * Encodes and decodes a heartbeat and a reply: the work of a router for a heartbeat that it sends and one that it
     * receives.
     */
    private static Operation heartbeatExchange(int leaving) {
        Operation request = encodeAndDecode(PeerCases::heartbeat);
        Operation reply = encodeAndDecode(() -> reply(leaving, 0));
        return () -> List.of(request.run(), reply.run());
    }

    private static Operation encodeAndDecode(Supplier<Frame> frame) {
        return () -> {
            try {
                return Frame.parseFrom(frame.get().toByteArray());
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalStateException(e);
            }
        };
    }

    private static Frame heartbeat() {
        Heartbeat heartbeat = Heartbeat.newBuilder()
                .setVm("vm-100")
                .setIncarnation(INCARNATION)
                .setAvailabilityZone("az-1")
                .setFleetVersion(100_000)
                .setPeerAddress(ADDRESS)
                .build();
        return Frame.newBuilder()
                .setCorrelation(100_000)
                .setHeartbeat(heartbeat)
                .build();
    }

    private static Frame reply(int leaving, int members) {
        HeartbeatReply.Builder reply = HeartbeatReply.newBuilder()
                .setVm("vm-101")
                .setIncarnation(INCARNATION)
                .setAvailabilityZone("az-1")
                .setFleetVersion(100_000)
                .setListRevision(1_000_000)
                .setPlatformConfirmedAgeMs(300)
                .setChargePartitions(8);
        for (int index = 0; index < leaving; index++) {
            reply.addLeavingUpstreams("engine-" + index);
        }
        for (int index = 0; index < members; index++) {
            reply.addMembers(Member.newBuilder()
                    .setVm("vm-" + index)
                    .setIncarnation(INCARNATION)
                    .setAvailabilityZone("az-1")
                    .setPeerAddress(ADDRESS));
        }
        return Frame.newBuilder()
                .setCorrelation(100_000)
                .setReply(true)
                .setHeartbeatReply(reply)
                .build();
    }
}
