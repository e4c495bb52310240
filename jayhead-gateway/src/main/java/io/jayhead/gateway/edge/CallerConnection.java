package io.jayhead.gateway.edge;

import io.jayhead.admission.memory.Holding;
import io.jayhead.admission.memory.HoldingPhase;
import io.jayhead.gateway.exchange.AnswerWriter;
import io.jayhead.gateway.exchange.CallerChannel;
import io.jayhead.gateway.exchange.Exchange;
import io.jayhead.gateway.exchange.GatewayContext;
import io.jayhead.gateway.exchange.Refusal;
import io.jayhead.gateway.log.GuardedTask;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.memory.ChargedHeaders;
import io.jayhead.gateway.memory.ConnectionMemory;
import io.jayhead.routing.catalog.CallerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Serves the requests of one connection of a caller, one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerChannel {

    private static final int MAX_PIPELINED = 8;
    /** Time for a caller to read a refusal while it still sends; a connection closed with unread bytes is reset. */
    private static final long REFUSAL_LINGER_MS = 1_000;

    private final GatewayContext context;
    private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
    private Channel channel;
    private ConnectionMemory memory;
    private InboundPieces pieces;
    private HeadDeadline headDeadline;
    private Exchange exchange;
    private FullHttpRequest servedRequest;
    private boolean keepAlive = true;

    CallerConnection(GatewayContext context) {
        this.context = context;
    }

    /** Starts the accounting of the connection. */
    ConnectionMemory open(Channel accepted, CallerLimits limits) {
        channel = accepted;
        memory = context.memory().open(this::shed);
        headDeadline = new HeadDeadline(limits.headerTimeoutMs(), this::headTimedOut);
        pieces = new InboundPieces(memory, headDeadline);
        return memory;
    }

    /** Returns the handler that follows the decoder of the connection. */
    HeadDeadline headDeadline() {
        return headDeadline;
    }

    /** Returns the handler that precedes the decoder of the connection. */
    InboundPieces pieces() {
        return pieces;
    }

    @Override
    public ConnectionMemory memory() {
        return memory;
    }

    @Override
    public Channel channel() {
        return channel;
    }

    @Override
    public void channelRead(ChannelHandlerContext handler, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (!keepAlive && exchange == null) {
            drop(request);
        } else if (exchange == null && channel.isWritable()) {
            serve(request);
        } else if (pipelined.size() < MAX_PIPELINED) {
            pipelined.add(request);
            enterPhase();
        } else {
            drop(request);
            channel.close();
        }
    }

    private static void drop(FullHttpRequest request) {
        releaseHeaders(request);
        request.release();
    }

    private static void releaseHeaders(FullHttpRequest request) {
        ChargedHeaders.release(request.headers());
        ChargedHeaders.release(request.trailingHeaders());
    }

    private void serve(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            refuseMalformed(request);
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        servedRequest = request;
        Exchange opened = new Exchange(context, this, request);
        exchange = opened;
        memory.restart(HoldingPhase.RUNNING);
        // Runs after the pending reads, so that a connection that its caller has already closed is noticed first.
        context.loop().execute(() -> start(opened));
    }

    private void start(Exchange opened) {
        if (!channel.isActive()) {
            return;
        }
        try {
            opened.start();
        } catch (RuntimeException failure) {
            channel.pipeline().fireExceptionCaught(failure);
        }
    }

    private void enterPhase() {
        if (!channel.isWritable()) {
            memory.enter(HoldingPhase.DELIVERING);
        } else if (exchange == null || !pipelined.isEmpty()) {
            memory.enter(HoldingPhase.RECEIVING);
        } else {
            memory.enter(HoldingPhase.RUNNING);
        }
    }

    private void refuseMalformed(FullHttpRequest request) {
        Throwable cause = request.decoderResult().cause();
        keepAlive = cause instanceof TooLongHttpContentException && HttpUtil.isKeepAlive(request);
        drop(request);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, refusalOf(cause));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        setConnectionHeader(response);
        ChannelFuture written = channel.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static HttpResponseStatus refusalOf(Throwable cause) {
        if (cause instanceof TooLongHttpContentException) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        return cause instanceof TooLongFrameException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    @Override
    public void answer(HttpResponseStatus status, HttpHeaders headers, List<ByteBuf> body) {
        int length = body.stream().mapToInt(ByteBuf::readableBytes).sum();
        HttpResponse response = body.size() > 1
                ? new DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
                : new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, body.isEmpty() ? Unpooled.EMPTY_BUFFER : body.get(0));
        response.headers().set(headers);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        setConnectionHeader(response);
        if (body.size() <= 1) {
            finish(channel.writeAndFlush(response));
            return;
        }
        channel.write(response, channel.voidPromise());
        // Each part is released as soon as it is written to the socket.
        body.forEach(part -> channel.write(new DefaultHttpContent(part), channel.voidPromise()));
        endStream();
    }

    @Override
    public void startStream(HttpResponseStatus status, HttpHeaders headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(headers);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(response);
        channel.write(response, channel.voidPromise());
    }

    @Override
    public void stream(byte[] bytes) {
        channel.writeAndFlush(new DefaultHttpContent(memory.hold(bytes)), channel.voidPromise());
    }

    @Override
    public void endStream() {
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void abort() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void setConnectionHeader(HttpResponse response) {
        if (context.drain().isDraining() || context.link().get().closesConnections()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish(ChannelFuture written) {
        if (pieces.isDiscarding()) {
            // A connection that was shed is closed later, see REFUSAL_LINGER_MS.
            return;
        }
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel.eventLoop().execute(this::serveNext);
    }

    private void serveNext() {
        exchange = null;
        releaseHeaders(servedRequest);
        memory.restart(HoldingPhase.RECEIVING);
        servePipelined();
        enterPhase();
    }

    /** Serves the next request once the caller has taken most of the answer to the one before. */
    private void servePipelined() {
        while (exchange == null && keepAlive && !pipelined.isEmpty() && channel.isWritable()) {
            serve(pipelined.poll());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handler) {
        if (exchange != null) {
            exchange.writabilityChanged();
        } else {
            servePipelined();
        }
        enterPhase();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext handler, Object event) {
        if (event instanceof IdleStateEvent && exchange == null) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext handler) {
        endExchange();
        dropPipelined();
        memory.close();
    }

    private void dropPipelined() {
        pipelined.forEach(CallerConnection::drop);
        pipelined.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
        if (!(cause instanceof IOException)) {
            context.log().write(LogKind.FAILED, "caller connection failed", "cause", GuardedTask.describe(cause));
        }
        channel.close();
    }

    /** Closes the connection to make room for another one. */
    void closeForDescriptor() {
        recordShed("descriptors");
        channel.close();
    }

    /**
     * Ends the connection to give up what it holds. A request that has not run is refused, and a caller that does not
     * read its answer is cut off.
     */
    private void shed() {
        recordShed("memory");
        boolean refusable = exchange != null || memory.holdsRequest();
        if (memory.holding().phase() == HoldingPhase.DELIVERING || !refusable) {
            endExchange();
            dropPipelined();
            memory.close();
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            ImmediateClose.close(channel);
            return;
        }
        refuseShed(Refusal.MEMORY_EXHAUSTED);
    }

    /** Refuses a request whose head takes too long, unless the answer would have the place of another one. */
    private void headTimedOut() {
        if (exchange == null && !pieces.isDiscarding()) {
            recordShed("time");
            refuseShed(Refusal.HEAD_TIMED_OUT);
        }
    }

    /** Answers the open or unfinished request, and discards everything else that has arrived and will arrive. */
    private void refuseShed(Refusal refusal) {
        channel.eventLoop().schedule(() -> channel.close(), REFUSAL_LINGER_MS, TimeUnit.MILLISECONDS);
        keepAlive = false;
        pieces.discard();
        if (exchange == null) {
            new AnswerWriter(context, this).refuse(refusal, refusal.retryAfterMs());
        } else {
            exchange.shed();
        }
        dropPipelined();
        channel.pipeline().remove(RequestAggregator.class);
        channel.pipeline().remove(BodyPages.class);
        channel.pipeline().remove(HeadDeadline.class);
        channel.pipeline().remove(HttpServerCodec.class);
        memory.close();
    }

    private void recordShed(String scarce) {
        Holding holding = memory.holding();
        context.metrics().callerShed(scarce, holding.phase().name());
        context.log()
                .write(
                        LogKind.SHED,
                        "caller shed",
                        "address",
                        channel.remoteAddress(),
                        "scarce",
                        scarce,
                        "phase",
                        holding.phase(),
                        "held_bytes",
                        holding.bytes());
    }

    private void endExchange() {
        if (exchange != null) {
            exchange.callerClosed();
        }
    }

    /** Tells whether a request is being served, so that no other may be answered. */
    boolean isServing() {
        return exchange != null;
    }

    /** Ends the open request with a final answer, or closes the connection if none is open. */
    void stop() {
        if (exchange == null) {
            channel.close();
        } else {
            exchange.stop();
        }
    }
}
