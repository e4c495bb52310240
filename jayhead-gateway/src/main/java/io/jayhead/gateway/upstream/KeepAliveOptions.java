package io.jayhead.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Sets the TCP keep-alive probes that find connections whose other end has become unreachable. */
public final class KeepAliveOptions {

    private static final int IDLE_S = 1;
    private static final int INTERVAL_S = 1;
    private static final int PROBES = 2;

    private KeepAliveOptions() {}

    /**
     * Adds the options to the connections of a bootstrap.
     *
     * @param bootstrap the bootstrap
     * @return the same bootstrap
     */
    public static Bootstrap apply(Bootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }
}
