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

/** Takes the chunked encoding from an answer, for HTTP/1.0 callers, who read up to the end of the connection. */
final class UnchunkedStream extends ChannelOutboundHandlerAdapter {

    private UnchunkedStream() {}

    /** Affects the answers that follow on a connection. */
    static void install(Channel channel) {
        for (Map.Entry<String, ChannelHandler> entry : channel.pipeline()) {
            if (entry.getValue() instanceof HttpServerCodec) {
                channel.pipeline().addAfter(entry.getKey(), null, new UnchunkedStream());
                return;
            }
        }
        throw new IllegalStateException("the pipeline of a caller has no HTTP codec");
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpResponse response) {
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        super.write(context, message, promise);
    }
}
