package io.jayhead.gateway.edge;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Limits how long a caller may take for the head of a request; follows the decoder of its connection.
 *
 * <p>The load pattern: many callers send a line now and then and never the end of a head, so that their connections are
 * never idle and keep descriptors and memory for good.
 */
final class HeadDeadline extends ChannelInboundHandlerAdapter implements HeadListener {

    /** For bytes that were sent in time and have not been read yet. */
    private static final long MARGIN_MS = 1_000;

    private final long limitMs;
    private final Runnable onExpired;
    /** A context of the pipeline would keep the decoder and its head in memory after both have been removed. */
    private Channel channel;

    /** Whether the next bytes belong to a head, or are line ends before one. */
    private boolean headPending = true;
    /** Whether a part of a head has arrived, but not all of it. */
    private boolean begun;

    private ScheduledFuture<?> timer;

    /**
     * Creates a handler for a connection on which nothing has arrived.
     *
     * @param limitMs the time for a head in milliseconds
     * @param onExpired is called once a head has taken longer, and again after the same time if the connection is open
     */
    HeadDeadline(int limitMs, Runnable onExpired) {
        this.limitMs = limitMs + MARGIN_MS;
        this.onExpired = onExpired;
    }

    @Override
    public void arriving(boolean blank) {
        begun |= headPending && !blank;
    }

    @Override
    public void decoded(boolean kept) {
        begun |= headPending && kept;
        if (begun && timer == null) {
            schedule();
        }
    }

    private void schedule() {
        timer = channel.eventLoop().schedule(this::expired, limitMs, TimeUnit.MILLISECONDS);
    }

    private void expired() {
        timer = null;
        if (channel.isActive()) {
            schedule();
            onExpired.run();
        }
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        channel = added.channel();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        cancel();
    }

    @Override
    public void channelRead(ChannelHandlerContext handler, Object message) {
        if (message instanceof HttpRequest) {
            headPending = false;
            begun = false;
            cancel();
        }
        if (message instanceof LastHttpContent) {
            headPending = true;
        }
        handler.fireChannelRead(message);
    }
}
