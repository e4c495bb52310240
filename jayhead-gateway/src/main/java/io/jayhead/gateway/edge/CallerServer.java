package io.jayhead.gateway.edge;

import io.jayhead.gateway.exchange.GatewayContext;
import io.jayhead.gateway.memory.ChargedHeaders;
import io.jayhead.gateway.memory.ConnectionMemory;
import io.jayhead.routing.catalog.CallerLimits;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Accepts the connections of callers; confined to the traffic thread once it listens. */
public final class CallerServer {

    private static final int BACKLOG = 1_024;
    /** The other descriptors are for files, upstreams, other routers and the platform. */
    private static final double DESCRIPTOR_SHARE = 0.6;

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 8_192;
    /** The most reads from one connection before the other connections are read. */
    private static final int MAX_READS_IN_A_ROW = 16;
    /**
     * Callers reuse connections that have been idle for less than the limit, so the router closes them a little after
     * it.
     */
    private static final long IDLE_MARGIN_MS = 1_000;

    private final GatewayContext context;
    private final LinkMeter meter;
    private final ConnectionLimit limit;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param context the objects that all exchanges of the router share
     * @param meter measures the traffic of callers
     * @param maxDescriptors the descriptors that the process may have open; 0 if unknown
     */
    public CallerServer(GatewayContext context, LinkMeter meter, int maxDescriptors) {
        this.context = context;
        this.meter = meter;
        this.limit = ConnectionLimit.ofDescriptors(maxDescriptors, DESCRIPTOR_SHARE);
    }

    /**
     * Starts to listen and returns when the address is bound.
     *
     * @param acceptor accepts connections
     * @param traffic serves the connections
     * @param address the address on which to listen
     */
    public void listen(EventLoopGroup acceptor, EventLoopGroup traffic, InetSocketAddress address) {
        server = new ServerBootstrap()
                .group(acceptor, traffic)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readsToTheEnd())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initConnection(channel);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Reads until nothing is left, so that the end of a connection is noticed together with a request before it: a
     * router that was paused finds both at once.
     */
    private static RecvByteBufAllocator readsToTheEnd() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_READS_IN_A_ROW);
        return allocator.respectMaybeMoreData(false);
    }

    private void initConnection(Channel channel) {
        CallerLimits limits = context.snapshot().get().catalog().limits();
        CallerConnection connection = new CallerConnection(context);
        ConnectionMemory memory = connection.open(channel, limits);
        HttpDecoderConfig decoding = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setHeadersFactory(ChargedHeaders.headsOf(memory))
                .setTrailersFactory(ChargedHeaders.trailersOf(memory));
        channel.pipeline()
                .addLast(meter)
                .addLast(new IdleStateHandler(0, 0, limits.idleTimeoutMs() + IDLE_MARGIN_MS, TimeUnit.MILLISECONDS))
                .addLast(connection.pieces())
                .addLast(new HttpServerCodec(decoding))
                .addLast(connection.headDeadline())
                .addLast(new BodyPages(memory))
                .addLast(new RequestAggregator(limits.maxBodyBytes(), connection::isServing))
                .addLast(connection);
        connections.add(connection);
        channel.closeFuture().addListener(closed -> {
            connections.remove(connection);
            limit.remove(memory);
        });
        limit.add(memory, connection::closeForDescriptor);
    }

    /** Stops accepting connections; open connections stay open. */
    public void stopListening() {
        server.close();
    }

    /** Ends all open requests with a final answer, and closes the connections without one. */
    public void stopConnections() {
        Set.copyOf(connections).forEach(CallerConnection::stop);
    }
}
