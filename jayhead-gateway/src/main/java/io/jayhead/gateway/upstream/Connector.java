package io.jayhead.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.InetSocketAddress;
import jdk.net.ExtendedSocketOptions;

/** Opens TCP connections with keep-alive probes, which detect that the remote host has become unreachable. */
public final class Connector {

    private static final int PROBE_IDLE_S = 1;
    private static final int PROBE_INTERVAL_S = 1;
    private static final int MAX_UNANSWERED_PROBES = 2;

    private Connector() {}

    /**
     * Opens a connection.
     *
     * @param loop the thread that serves the connection
     * @param address the remote address
     * @param timeoutMs the longest time in milliseconds until the connection is established
     * @param handlers the handlers of the connection, in pipeline order from the network inwards
     * @return a future that completes when the connection is established or has failed
     */
    public static ChannelFuture connect(
            EventLoop loop, InetSocketAddress address, int timeoutMs, ChannelHandler... handlers) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(UpstreamChannel::new)
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
