package io.jayhead.gateway.upstream;

import io.jayhead.gateway.wire.AnswerFacts;
import io.jayhead.gateway.wire.WireDialect;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * A connection to an upstream that carries one request at a time.
 *
 * <p>An answer that names another request is skipped: it is a late second answer to an earlier request. Bytes that
 * arrive while no request is open close the connection.
 */
public final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

    private final WireDialect dialect;
    private final UpstreamConnections owner;
    private final long idleLimitDefaultMs;
    private Channel channel;
    private AttemptListener listener;
    private String requestId = "";
    private ChannelFuture requestWritten;
    private Answer answer = Answer.NONE;
    private boolean reusable = true;
    private long idleSinceNs;
    private long idleLimitMs;

    UpstreamConnection(WireDialect dialect, UpstreamConnections owner, long idleLimitMs) {
        this.dialect = dialect;
        this.owner = owner;
        this.idleLimitDefaultMs = idleLimitMs;
        this.idleLimitMs = idleLimitMs;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param id the identity that the answer must name
     * @param attempt receives the answer
     */
    public void send(FullHttpRequest request, String id, AttemptListener attempt) {
        listener = attempt;
        requestId = id;
        answer = Answer.AWAITED;
        requestWritten = channel.writeAndFlush(request);
    }

    /** Closes the connection; the upstream stops working on the request. */
    public void abort() {
        listener = null;
        reusable = false;
        channel.close();
    }

    /**
     * Pauses or continues reading the answer.
     *
     * @param reading whether to read
     */
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    boolean isUsable(long nowNs) {
        return channel.isActive() && reusable && (nowNs - idleSinceNs) / 1_000_000 < idleLimitMs;
    }

    void close() {
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        idleSinceNs = System.nanoTime();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("undecodable answer");
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (listener == null) {
            abort();
            return;
        }
        if (head.status().code() == HttpResponseStatus.CONTINUE.code()) {
            answer = Answer.INTERIM;
            return;
        }
        AnswerFacts facts = dialect.readAnswer(head);
        if (facts.requestId().isPresent() && !facts.requestId().get().equals(requestId)) {
            answer = Answer.SKIPPED;
            return;
        }
        answer = Answer.OPEN;
        facts.idleTimeoutMs().ifPresent(timeout -> idleLimitMs = Math.min(idleLimitDefaultMs, timeout));
        reusable &= HttpUtil.isKeepAlive(head);
        listener.head(head, facts);
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (answer != Answer.OPEN) {
            answer = last && answer != Answer.NONE ? Answer.AWAITED : answer;
            return;
        }
        if (listener != null && content.content().isReadable()) {
            listener.content(content.content());
        }
        if (last && listener != null) {
            finish();
        }
    }

    private void finish() {
        AttemptListener ended = listener;
        listener = null;
        answer = Answer.NONE;
        idleSinceNs = System.nanoTime();
        if (!requestWritten.isDone()) {
            reusable = false;
        }
        ended.complete();
        channel.config().setAutoRead(true);
        if (reusable) {
            owner.released(this);
        } else {
            channel.close();
        }
    }

    private void fail(String reason) {
        AttemptListener failed = listener;
        listener = null;
        reusable = false;
        if (failed != null) {
            failed.broken(reason);
        }
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (listener != null) {
            listener.writabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed");
        owner.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    /** Where the connection stands in reading answers. */
    private enum Answer {
        NONE,
        AWAITED,
        INTERIM,
        SKIPPED,
        OPEN
    }
}
