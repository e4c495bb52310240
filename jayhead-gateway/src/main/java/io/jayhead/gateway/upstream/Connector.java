package io.jayhead.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import jdk.net.ExtendedSocketOptions;

/** Opens connections to other systems, with keep-alive probes that find an other end that has become unreachable. */
public final class Connector {

    private static final int PROBE_IDLE_S = 1;
    private static final int PROBE_INTERVAL_S = 1;
    private static final int MAX_UNANSWERED_PROBES = 2;

    private Connector() {}

    /**
     * Opens a connection.
     *
     * @param loop the thread that serves it
     * @param address the other end
     * @param timeoutMs the longest time until it is established, in milliseconds
     * @param handlers the handlers of the connection, the one next to the network first
     * @return the connection attempt
     */
    public static ChannelFuture connect(
            EventLoop loop, InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED_PROBES)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handlers);
                    }
                })
                .connect(address);
    }
}
