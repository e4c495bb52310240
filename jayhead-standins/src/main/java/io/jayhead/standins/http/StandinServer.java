package io.jayhead.standins.http;

import io.jayhead.standins.fault.FaultRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntConsumer;

/**
 * Runs the HTTP server of one stand-in on 127.0.0.1. Uses Netty directly, because the fault {@code silent} needs access
 * to the channels.
 */
public final class StandinServer implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int IO_THREADS = 2;

    /**
     * Twice the largest value of the object API, so that the platform stand-in itself responds 413 to a value that is a
     * little too large.
     */
    private static final int MAX_BODY_BYTES = 2 * 1024 * 1024;

    private static final int BACKLOG_CONNECTIONS = 1024;

    private final ScheduledExecutorService control;
    private final EventLoopGroup acceptors = new NioEventLoopGroup(1);
    private final EventLoopGroup workers = new NioEventLoopGroup(IO_THREADS);
    private final Connections connections = new Connections();
    private final Channel listener;

    private StandinServer(int port, Function<StandinContext, Standin> factory, IntConsumer exit) {
        control = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "standin-control"));
        StandinContext context = new StandinContext(control, new FaultRegistry(System::nanoTime));
        FaultFilter faultFilter = new FaultFilter(context, factory.apply(context), connections, exit);
        try {
            listener = bind(port, context, faultFilter);
        } catch (RuntimeException e) {
            stop();
            throw e;
        }
    }

    /**
     * Starts a server.
     *
     * @param port the port, or 0 for any free port
     * @param factory creates the stand-in
     * @param exit ends the process with a status when the fault {@code die} is injected
     * @return the server, ready for connections
     */
    public static StandinServer start(int port, Function<StandinContext, Standin> factory, IntConsumer exit) {
        return new StandinServer(port, factory, exit);
    }

    /** Returns the base URL, without a trailing slash. */
    public String address() {
        return "http://" + HOST + ":" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        stop();
    }

    private Channel bind(int port, StandinContext context, FaultFilter faultFilter) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(acceptors, workers)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(connections.add(channel))
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new RequestDecoder(context, faultFilter, connections));
                    }
                });
        return bootstrap.bind(HOST, port).syncUninterruptibly().channel();
    }

    private void stop() {
        control.shutdownNow();
        acceptors.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
