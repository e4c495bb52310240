package io.jayhead.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jayhead.peer.pb.Frame;
import io.jayhead.peer.pb.Heartbeat;
import io.jayhead.peer.pb.HeartbeatReply;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that receive the reply to another request, or that wait for a reply that cannot arrive.
 *
 * <p>They come about when replies arrive out of order, a connection is refused or silently dead, or the handler fails.
 */
class PeerProtocolTest {

    private static final Frame HEARTBEAT = Frame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder().setVm("vm-1").setFleetVersion(7))
            .build();

    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final PeerClient client = PeerClient.of(group, PeerTrafficListener.NONE);

    @AfterEach
    void stop() {
        client.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    @Test
    void aReplyReachesTheRequestWithItsCorrelationIdEvenOutOfOrder() throws Exception {
        CompletableFuture<Frame> first = new CompletableFuture<>();
        AtomicInteger requests = new AtomicInteger();
        try (PeerServer server = serve(request -> requests.getAndIncrement() == 0 ? first : reply(2))) {
            CompletableFuture<Frame> slow = client.request(address(server), HEARTBEAT, 2_000);
            Frame fast = client.request(address(server), HEARTBEAT, 2_000).get();
            first.complete(reply(1).get());
            assertEquals(2, fast.getHeartbeatReply().getFleetVersion());
            assertEquals(1, slow.get().getHeartbeatReply().getFleetVersion());
        }
    }

    @Test
    void aSilentConnectionIsReplacedByAFreshOneAfterOneTimeout() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        CompletableFuture<Frame> never = new CompletableFuture<>();
        try (PeerServer server = serve(request -> requests.getAndIncrement() == 0 ? never : reply(3))) {
            assertThrows(
                    ExecutionException.class,
                    () -> client.request(address(server), HEARTBEAT, 100).get());
            Frame reply = client.request(address(server), HEARTBEAT, 2_000).get();
            assertEquals(3, reply.getHeartbeatReply().getFleetVersion());
        }
    }

    @Test
    void aRefusedConnectionFailsTheRequestAtOnce() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        CompletableFuture<Frame> reply =
                client.request(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), HEARTBEAT, 60_000);
        ExecutionException failure = assertThrows(ExecutionException.class, () -> reply.get(5, TimeUnit.SECONDS));
        assertInstanceOf(PeerException.class, failure.getCause());
    }

    @Test
    void aFailureOfTheHandlerIsReportedToTheSender() throws Exception {
        try (PeerServer server = serve(request -> CompletableFuture.failedFuture(new IllegalStateException("no")))) {
            CompletableFuture<Frame> reply = client.request(address(server), HEARTBEAT, 2_000);
            ExecutionException failure = assertThrows(ExecutionException.class, reply::get);
            assertInstanceOf(PeerException.class, failure.getCause());
        }
    }

    private PeerServer serve(PeerRequestHandler handler) {
        return PeerServer.start(
                group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), handler, PeerTrafficListener.NONE);
    }

    private static InetSocketAddress address(PeerServer server) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    private static CompletableFuture<Frame> reply(long version) {
        return CompletableFuture.completedFuture(Frame.newBuilder()
                .setHeartbeatReply(HeartbeatReply.newBuilder().setFleetVersion(version))
                .build());
    }
}
