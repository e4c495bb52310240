package io.jayhead.peer;

import com.google.common.flogger.FluentLogger;
import io.jayhead.peer.pb.Failure;
import io.jayhead.peer.pb.Frame;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.logging.Level;

/** Accepts connections of other routers and answers their requests. */
public final class PeerServer implements AutoCloseable {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Channel channel;

    private PeerServer(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts a server.
     *
     * @param group the I/O threads, shared with {@link PeerClient}
     * @param address the address to listen on; port 0 chooses a free port
     * @param handler the handler that answers the requests
     * @param traffic the observer of the messages
     * @return the running server
     */
    public static PeerServer start(
            EventLoopGroup group, InetSocketAddress address, PeerRequestHandler handler, PeerTrafficListener traffic) {
        return start(group, address, handler, traffic, accepted -> {});
    }

    /**
     * Starts a server that reports its connections, so that they can be limited.
     *
     * @param group the I/O threads, shared with {@link PeerClient}
     * @param address the address to listen on; port 0 chooses a free port
     * @param handler the handler that answers the requests
     * @param traffic the observer of the messages
     * @param onAccepted receives each accepted connection, on its thread, once its handlers are set up
     * @return the running server
     */
    public static PeerServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            PeerRequestHandler handler,
            PeerTrafficListener traffic,
            Consumer<Channel> onAccepted) {
        Channel channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new PeerPipeline(() -> new RequestChannelHandler(handler, traffic), onAccepted))
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return new PeerServer(channel);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private static final class RequestChannelHandler extends SimpleChannelInboundHandler<Frame> {

        private final PeerRequestHandler handler;
        private final PeerTrafficListener traffic;

        RequestChannelHandler(PeerRequestHandler handler, PeerTrafficListener traffic) {
            this.handler = handler;
            this.traffic = traffic;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame request) {
            traffic.received(PeerTrafficListener.INBOUND, request);
            handler.handle(request).whenComplete((reply, failure) -> {
                Frame frame = failure == null ? reply : failed(failure);
                Frame correlated = frame.toBuilder()
                        .setCorrelation(request.getCorrelation())
                        .setReply(true)
                        .build();
                traffic.sent(PeerTrafficListener.INBOUND, correlated);
                context.writeAndFlush(correlated);
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.at(Level.FINE).withCause(cause).log("peer connection failed");
            context.close();
        }

        private static Frame failed(Throwable failure) {
            Failure body = Failure.newBuilder()
                    .setCode("internal")
                    .setMessage(String.valueOf(failure.getMessage()))
                    .build();
            return Frame.newBuilder().setFailure(body).build();
        }
    }
}
