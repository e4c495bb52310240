package io.jayhead.gateway.edge;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;

/** Closes connections and releases what their handlers keep. */
final class ImmediateClose {

    private ImmediateClose() {}

    /**
     * Closes a connection; its handlers receive no further events. Netty lets handlers release what they keep only
     * after all connections that are ready have been read, which may be too late.
     *
     * @param channel the connection
     */
    static void close(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        // From the end, so that no handler receives what those before it pass on when they are removed.
        while (pipeline.last() != null) {
            pipeline.removeLast();
        }
        channel.close();
    }
}
