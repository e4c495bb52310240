package io.jayhead.edge;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.Map;

/** Removes the chunked encoding from responses to HTTP/1.0 callers, which read until the connection closes. */
final class ChunkedEncodingRemover extends ChannelOutboundHandlerAdapter {

    private ChunkedEncodingRemover() {}

    /** Installs the remover on a connection, where it affects all later responses. */
    static void install(Channel channel) {
        for (Map.Entry<String, ChannelHandler> entry : channel.pipeline()) {
            if (entry.getValue() instanceof HttpServerCodec) {
                channel.pipeline().addAfter(entry.getKey(), null, new ChunkedEncodingRemover());
                return;
            }
        }
        throw new IllegalStateException("the Netty pipeline of the caller's connection has no HTTP codec");
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpResponse response) {
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        super.write(context, message, promise);
    }
}
