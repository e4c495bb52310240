package io.jayhead.peer;

import io.jayhead.peer.pb.Frame;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Sends requests to other routers over one connection per router. */
public final class PeerClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final EventLoopGroup group;
    private final PeerTrafficListener traffic;
    private final ConcurrentMap<InetSocketAddress, PeerConnection> connections = new ConcurrentHashMap<>();

    private PeerClient(EventLoopGroup group, PeerTrafficListener traffic) {
        this.group = group;
        this.traffic = traffic;
    }

    /**
     * Returns a client without connections; they are opened when needed.
     *
     * @param group the I/O threads
     * @param traffic the observer of the messages
     * @return the client
     */
    public static PeerClient of(EventLoopGroup group, PeerTrafficListener traffic) {
        return new PeerClient(group, traffic);
    }

    /**
     * Sends a request.
     *
     * @param address the peer address of the receiver
     * @param request the request; this client sets its correlation id
     * @param timeoutMs the time to wait for the reply
     * @return the reply; fails with {@link PeerException} if the connection fails or the other router reports a
     *     failure, and with a {@link java.util.concurrent.TimeoutException} if there is no reply in time
     */
    public CompletableFuture<Frame> request(InetSocketAddress address, Frame request, long timeoutMs) {
        return connections
                .compute(address, (key, current) -> usable(current) ? current : open(key))
                .request(request, timeoutMs);
    }

    @Override
    public void close() {
        connections.values().forEach(PeerConnection::close);
        connections.clear();
    }

    private static boolean usable(PeerConnection connection) {
        return connection != null && !connection.isClosed();
    }

    private PeerConnection open(InetSocketAddress address) {
        PeerConnection connection = new PeerConnection(address, traffic);
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new PeerPipeline(() -> connection))
                .connect(address)
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        connection.fail("connect failed: " + future.cause().getMessage());
                    }
                });
        return connection;
    }
}
