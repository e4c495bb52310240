package io.jayhead.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes the answers on a connection that carries one request at a time. Bytes that arrive while no request is open
 * are not decoded, since they would become the beginning of the answer to the next request.
 */
public final class AnswerDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 8_192;
    private static final int MAX_FOLLOWING_BYTES = 64;
    private static final int MAX_KEPT_CAPACITY_BYTES = 8_192;

    private final Runnable onIdleBytes;
    private final AnswerSyntax syntax = new AnswerSyntax();
    private HttpMethod method = HttpMethod.GET;
    private boolean requestOpen;
    private boolean corrupted;

    /**
     * Creates a decoder of a connection without a request.
     *
     * @param onIdleBytes is called for bytes that arrive while no request is open
     */
    public AnswerDecoder(Runnable onIdleBytes) {
        super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        this.onIdleBytes = onIdleBytes;
    }

    /**
     * Starts to expect an answer.
     *
     * @param requestMethod the method of the request, since answers to some have no body
     */
    public void openRequest(HttpMethod requestMethod) {
        method = requestMethod;
        requestOpen = true;
        syntax.beginAnswer();
    }

    /**
     * Stops expecting an answer.
     *
     * @return the first bytes that have been received behind the answer, one character each; empty if there are none
     */
    public String closeRequest() {
        requestOpen = false;
        ByteBuf following = internalBuffer();
        int length = Math.min(following.readableBytes(), MAX_FOLLOWING_BYTES);
        return following.toString(following.readerIndex(), length, StandardCharsets.ISO_8859_1);
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

    /**
     * Decodes the next bytes, and refuses those that only a lenient reading makes a part of an answer. What they were
     * decoded to is not passed on.
     */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        if (corrupted) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int start = buffer.readerIndex();
        int earlier = decoded.size();
        super.decode(context, buffer, decoded);
        if (hasFailed(decoded)) {
            return;
        }
        try {
            syntax.read(buffer, start, buffer.readerIndex());
        } catch (CorruptedFrameException noAnswer) {
            corrupted = true;
            discard(decoded, earlier);
            throw noAnswer;
        }
        for (int index = earlier; index < decoded.size(); index++) {
            followAnswer(decoded.get(index));
        }
    }

    private static boolean hasFailed(List<Object> decoded) {
        Object last = decoded.isEmpty() ? null : decoded.get(decoded.size() - 1);
        return last instanceof HttpObject part && part.decoderResult().isFailure();
    }

    private static void discard(List<Object> decoded, int first) {
        while (decoded.size() > first) {
            ReferenceCountUtil.release(decoded.remove(decoded.size() - 1));
        }
    }

    /** Tells the check of the syntax where heads and answers end. */
    private void followAnswer(Object message) {
        if (message instanceof HttpResponse head && HttpUtil.isTransferEncodingChunked(head)) {
            syntax.beginChunks();
        }
        if (message instanceof LastHttpContent) {
            syntax.beginAnswer();
        }
    }

    /**
     * Shrinks the buffer of which the decoder keeps a last incomplete line while reading pauses. Otherwise each
     * connection with a caller that reads slowly would keep a read buffer of up to 64 KB.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        ByteBuf kept = internalBuffer();
        boolean paused = !context.channel().config().isAutoRead();
        if (paused && kept.refCnt() == 1 && kept.capacity() > MAX_KEPT_CAPACITY_BYTES) {
            kept.discardReadBytes().capacity(kept.readableBytes());
        }
        super.channelReadComplete(context);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage answer) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(answer);
    }
}
