package io.jayhead.gateway.edge;

import io.jayhead.gateway.exchange.CallerChannel;
import io.jayhead.gateway.exchange.Exchange;
import io.jayhead.gateway.exchange.GatewayContext;
import io.jayhead.gateway.log.GuardedTask;
import io.jayhead.gateway.log.LogKind;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/** Serves the requests of one connection of a caller, one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerChannel {

    private static final int MAX_PIPELINED = 8;

    private final GatewayContext context;
    private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
    private Channel channel;
    private Exchange exchange;
    private boolean keepAlive = true;

    CallerConnection(GatewayContext context) {
        this.context = context;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handler) {
        channel = handler.channel();
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
        if (exchange == null && keepAlive) {
            serve(request);
        } else if (exchange == null) {
            request.release();
        } else if (pipelined.size() < MAX_PIPELINED) {
            pipelined.add(request);
        } else {
            request.release();
            channel.close();
        }
    }

    private void serve(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            refuseMalformed(request);
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        Exchange opened = new Exchange(context, this, request);
        exchange = opened;
        // Started after all that has arrived was read, so that a caller that has left is known to have left.
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

    private void refuseMalformed(FullHttpRequest request) {
        Throwable cause = request.decoderResult().cause();
        keepAlive = cause instanceof TooLongHttpContentException && HttpUtil.isKeepAlive(request);
        request.release();
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
    public void answer(HttpResponseStatus status, HttpHeaders headers, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(headers);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        setConnectionHeader(response);
        finish(channel.writeAndFlush(response));
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
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), channel.voidPromise());
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
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel.eventLoop().execute(this::serveNext);
    }

    private void serveNext() {
        exchange = null;
        while (exchange == null && keepAlive && !pipelined.isEmpty()) {
            serve(pipelined.poll());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handler) {
        if (exchange != null) {
            exchange.writabilityChanged();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext handler, Object event) {
        if (event instanceof IdleStateEvent && exchange == null) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext handler) {
        if (exchange != null) {
            exchange.callerClosed();
        }
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
        if (!(cause instanceof IOException)) {
            context.log().write(LogKind.FAILED, "caller connection failed", "cause", GuardedTask.describe(cause));
        }
        channel.close();
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
