package io.jayhead.gateway.edge;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.function.BooleanSupplier;

/**
 * Collects the requests of a caller's connection and answers none of them while an earlier one is served, since the
 * answer would have the place of the answer to that one.
 */
final class RequestAggregator extends HttpObjectAggregator {

    private final BooleanSupplier serving;

    /**
     * Creates an aggregator of one connection.
     *
     * @param maxBodyBytes the maximum size of a request body
     * @param serving tells whether a request of the connection is being served
     */
    RequestAggregator(int maxBodyBytes, BooleanSupplier serving) {
        super(maxBodyBytes);
        this.serving = serving;
    }

    /** Returns no answer while another request is served; a caller sends its body after a while without one. */
    @Override
    protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        if (!serving.getAsBoolean()) {
            return super.newContinueResponse(start, maxContentLength, pipeline);
        }
        start.headers().remove(HttpHeaderNames.EXPECT);
        return null;
    }

    /** Passes a request on as one that cannot be read, which is refused in its place. */
    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest head = (HttpRequest) oversized;
        FullHttpRequest refused = new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                Unpooled.EMPTY_BUFFER,
                head.headers(),
                EmptyHttpHeaders.INSTANCE);
        // Only a body whose length is known from the head is skipped to its end.
        HttpUtil.setKeepAlive(refused, HttpUtil.isKeepAlive(head) && !(oversized instanceof FullHttpMessage));
        refused.setDecoderResult(DecoderResult.failure(new TooLongHttpContentException("body is too long")));
        context.fireChannelRead(refused);
    }
}
