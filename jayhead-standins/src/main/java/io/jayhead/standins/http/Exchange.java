package io.jayhead.standins.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/** Sends the response to one request. Not thread-safe: all methods must be called from the control thread. */
public final class Exchange {

    /** Short compared with the freezes that tests inject, which last hundreds of milliseconds. */
    private static final long FREEZE_POLL_MS = 10;

    private final StandinContext context;
    private final Channel channel;
    private final Request request;
    private final boolean keepAlive;
    private final List<ChannelFutureListener> closeListeners = new ArrayList<>();
    private final Queue<Runnable> heldWrites = new ArrayDeque<>();

    Exchange(StandinContext context, Channel channel, Request request, boolean keepAlive) {
        this.context = context;
        this.channel = channel;
        this.request = request;
        this.keepAlive = keepAlive;
    }

    /** Tells whether the caller's connection is still open. */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Runs a task on the control thread if the caller's connection closes before the response is complete.
     *
     * @param task the task
     */
    public void onClose(Runnable task) {
        ChannelFutureListener listener = ignored -> {
            if (!context.control().isShutdown()) {
                context.control().execute(task);
            }
        };
        closeListeners.add(listener);
        channel.closeFuture().addListener(listener);
    }

    /**
     * Sends a complete response, or closes the connection if a fault drops the reply of a successful write.
     *
     * @param response the response
     */
    public void respond(Response response) {
        if (response.isSuccess() && consumesDropReply()) {
            channel.close();
            return;
        }
        ByteBuf body = Unpooled.copiedBuffer(response.body(), StandardCharsets.UTF_8);
        DefaultFullHttpResponse message =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), body);
        message.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        response.headers().forEach((name, value) -> message.headers().set(name, value));
        HttpUtil.setKeepAlive(message, keepAlive);
        send(() -> writeLast(message));
    }

    /** Starts an event stream, or closes the connection if a fault drops the reply. */
    public void startEventStream() {
        if (consumesDropReply()) {
            channel.close();
            return;
        }
        HttpResponse message = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        message.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        message.headers().set(HttpHeaderNames.CACHE_CONTROL, "no-cache");
        HttpUtil.setTransferEncodingChunked(message, true);
        HttpUtil.setKeepAlive(message, keepAlive);
        send(() -> channel.writeAndFlush(message));
    }

    /**
     * Sends and flushes one event.
     *
     * @param data the value that is written as JSON into the data of the event
     */
    public void sendEvent(Object data) {
        String text = "data: " + Json.write(data) + "\n\n";
        send(() -> channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))));
    }

    /** Ends the event stream. */
    public void endEventStream() {
        send(() -> writeLast(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    private boolean consumesDropReply() {
        return request.isWrite()
                && !ControlPaths.contains(request)
                && context.faults().tryConsumeDropReply(request.path());
    }

    /**
     * Writes the last part of the response and removes the close listeners, which would otherwise accumulate on a
     * keep-alive connection that serves many exchanges.
     */
    private void writeLast(Object message) {
        closeListeners.forEach(listener -> channel.closeFuture().removeListener(listener));
        closeListeners.clear();
        var written = channel.writeAndFlush(message);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void send(Runnable write) {
        if (heldWrites.isEmpty() && !isFrozen()) {
            write.run();
            return;
        }
        heldWrites.add(write);
        if (heldWrites.size() == 1) {
            context.after(FREEZE_POLL_MS, this::releaseHeldWrites);
        }
    }

    private void releaseHeldWrites() {
        if (isFrozen()) {
            context.after(FREEZE_POLL_MS, this::releaseHeldWrites);
            return;
        }
        heldWrites.forEach(Runnable::run);
        heldWrites.clear();
    }

    private boolean isFrozen() {
        return !ControlPaths.contains(request) && context.faults().isFrozen(request.path());
    }
}
