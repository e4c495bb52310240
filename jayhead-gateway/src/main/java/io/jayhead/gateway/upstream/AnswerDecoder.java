package io.jayhead.gateway.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the answers on a connection that carries one request at a time. Bytes that arrive while no request is open
 * are not decoded, since they would become the beginning of the answer to the next request.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 8_192;

    private final Runnable onIdleBytes;
    private HttpMethod method = HttpMethod.GET;
    private boolean requestOpen;

    /**
     * Creates a decoder of a connection without a request.
     *
     * @param onIdleBytes is called for bytes that arrive while no request is open
     */
    AnswerDecoder(Runnable onIdleBytes) {
        super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        this.onIdleBytes = onIdleBytes;
    }

    /**
     * Starts to expect an answer.
     *
     * @param requestMethod the method of the request, since answers to some have no body
     */
    void requestOpened(HttpMethod requestMethod) {
        method = requestMethod;
        requestOpen = true;
    }

    /**
     * Stops expecting an answer.
     *
     * @return true if bytes that followed the answer have been received
     */
    boolean requestClosed() {
        requestOpen = false;
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        if (requestOpen) {
            super.channelRead(context, bytes);
            return;
        }
        ReferenceCountUtil.release(bytes);
        onIdleBytes.run();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage answer) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(answer);
    }
}
