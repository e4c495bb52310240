package io.jayhead.gateway.upstream;

import io.jayhead.gateway.upstream.UpstreamChannel.Unread;
import io.jayhead.gateway.wire.AnswerMetadata;
import io.jayhead.gateway.wire.WireDialect;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * A connection to an upstream that carries one request at a time.
 *
 * <p>An answer that names another request is skipped, since it is a late second answer to an earlier request. A
 * connection on which bytes arrive while no request is open is closed: they may be a part of such an answer, which the
 * next answer would complete. An answer that names no request is believed only as the first one of a connection.
 */
public final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** More informational answers, or answers to other requests, than this before the answer indicate a fault. */
    private static final int MAX_IGNORED_ANSWERS = 16;

    private final WireDialect dialect;
    private final UpstreamConnectionPool pool;
    private final long defaultIdleLimitMs;
    private final SentRequests sentRequests = new SentRequests();
    private final AnswerDecoder decoder = new AnswerDecoder(this::idleBytes);
    private Channel channel;
    private AttemptListener listener;
    private String requestId = "";
    private ChannelFuture requestWritten;
    private AnswerState answerState = AnswerState.NONE;
    private boolean framed;
    private int ignoredAnswers;
    private EmbeddedAnswer embeddedAnswer;
    private boolean reusable = true;
    private long idleSinceNs;
    private long idleLimitMs;

    UpstreamConnection(WireDialect dialect, UpstreamConnectionPool pool, long idleLimitMs) {
        this.dialect = dialect;
        this.pool = pool;
        this.defaultIdleLimitMs = idleLimitMs;
        this.idleLimitMs = idleLimitMs;
    }

    /**
     * Sends a request on this idle connection.
     *
     * @param request the request
     * @param id the request id; answers that name another are skipped
     * @param attempt receives the answer
     */
    public void send(FullHttpRequest request, String id, AttemptListener attempt) {
        listener = attempt;
        requestId = id;
        answerState = AnswerState.AWAITED;
        ignoredAnswers = 0;
        sentRequests.add(id);
        decoder.openRequest(request.method());
        requestWritten = channel.writeAndFlush(request);
    }

    /**
     * Returns how many requests have been sent on this connection.
     *
     * @return the number of requests
     */
    public int requests() {
        return sentRequests.count();
    }

    /** Returns the decoder that precedes this handler in the pipeline. */
    AnswerDecoder decoder() {
        return decoder;
    }

    /** Closes the connection without notifying the attempt, so that the upstream can stop working on the request. */
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

    /**
     * Tells whether a request can be sent: nothing has arrived that its answer could be mixed with, and no answer to an
     * earlier request has its id. A connection that is not fit must be closed.
     */
    boolean isFit(String nextId) {
        return !sentRequests.mayContain(nextId) && isQuiet();
    }

    private boolean isQuiet() {
        Unread unread = ((UpstreamChannel) channel).unread();
        if (unread == Unread.BYTES) {
            pool.unsolicited(UnsolicitedBytes.BEFORE_REQUEST, requestId);
        }
        return unread == Unread.NOTHING;
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
            // The answer was given up, or bytes that had been received behind it are decoded.
            abort();
            return;
        }
        if (!AnswerHead.isSingle(head)) {
            fail("head with the beginning of another answer");
            return;
        }
        framed = AnswerHead.isFramed(head);
        embeddedAnswer = new EmbeddedAnswer(this::namesRequest, framed);
        AnswerMetadata metadata = dialect.readAnswer(head);
        Optional<String> answeredId = metadata.requestId();
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail("change to another protocol");
        } else if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            ignore(AnswerState.INTERIM);
        } else if (answeredId.isPresent() && !answeredId.get().equals(requestId)) {
            pool.unsolicited(UnsolicitedBytes.OTHER_REQUEST, requestId);
            ignore(AnswerState.SKIPPED);
        } else if (answeredId.isEmpty() && sentRequests.count() > 1) {
            fail("answer without a request id on a connection in use again");
        } else {
            accept(head, metadata);
        }
    }

    private void ignore(AnswerState state) {
        answerState = state;
        ignoredAnswers++;
        if (ignoredAnswers > MAX_IGNORED_ANSWERS) {
            fail("too many answers that are not the one to the request");
        }
    }

    private void accept(HttpResponse head, AnswerMetadata metadata) {
        answerState = AnswerState.OPEN;
        metadata.idleTimeoutMs().ifPresent(timeout -> idleLimitMs = Math.min(defaultIdleLimitMs, timeout));
        // A second copy of an answer without an id may arrive behind the next request.
        reusable &= HttpUtil.isKeepAlive(head) && metadata.requestId().isPresent() && !sentRequests.isFull();
        listener.head(head, metadata);
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (embeddedAnswer.add(content.content())) {
            fail("another answer inside an answer");
            return;
        }
        if (answerState != AnswerState.OPEN) {
            answerState = last && answerState != AnswerState.NONE ? AnswerState.AWAITED : answerState;
            return;
        }
        if (listener != null && content.content().isReadable()) {
            listener.content(content.content());
        }
        if (last && listener != null) {
            finish();
        }
    }

    /** Tells whether a header line names a request that was sent on this connection. */
    private boolean namesRequest(String line) {
        int colon = line.indexOf(':');
        String value = line.substring(colon + 1).strip();
        if (colon <= 0 || !sentRequests.mayContain(value)) {
            return false;
        }
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, false);
        head.headers().set(line.substring(0, colon), value);
        return dialect.readAnswer(head).requestId().isPresent();
    }

    private void finish() {
        boolean endedByConnection = !framed && !channel.isActive();
        if (endedByConnection && !requestWritten.isSuccess()) {
            fail("connection ended while the request was being written");
            return;
        }
        String following = decoder.closeRequest();
        if (embeddedAnswer.endsInsideHead() || embeddedAnswer.isShownBy(following)) {
            fail("answer with a part of another one");
            return;
        }
        AttemptListener finishedAttempt = listener;
        listener = null;
        answerState = AnswerState.NONE;
        if (!following.isEmpty()) {
            pool.unsolicited(UnsolicitedBytes.AFTER_ANSWER, requestId);
            reusable = false;
        }
        idleSinceNs = System.nanoTime();
        if (!requestWritten.isDone()) {
            reusable = false;
        }
        finishedAttempt.complete();
        channel.config().setAutoRead(true);
        if (reusable) {
            pool.released(this);
        } else {
            channel.close();
        }
    }

    private void idleBytes() {
        if (!channel.isActive()) {
            return;
        }
        pool.unsolicited(UnsolicitedBytes.WHILE_IDLE, requestId);
        fail("bytes without a request");
    }

    private void fail(String reason) {
        AttemptListener failedAttempt = listener;
        listener = null;
        reusable = false;
        if (failedAttempt != null) {
            failedAttempt.broken(reason);
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
        pool.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    /** The state of reading the answer to the current request. */
    private enum AnswerState {
        NONE,
        AWAITED,
        INTERIM,
        SKIPPED,
        OPEN
    }
}
