package io.jayhead.standins.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/**
 * Makes one connection neither read, write nor close once it is silenced. Must be the first handler of the pipeline,
 * next to the socket.
 */
final class SilenceHandler extends ChannelDuplexHandler {

    private volatile boolean silent;
    private volatile String lastPath = "";

    void recordRequest(String path) {
        lastPath = path;
    }

    String lastPath() {
        return lastPath;
    }

    void silence() {
        silent = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (silent) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.fireChannelRead(message);
    }

    @Override
    public void read(ChannelHandlerContext context) {
        if (!silent) {
            context.read();
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (silent) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.write(message, promise);
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        if (!silent) {
            context.flush();
        }
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (!silent) {
            context.close(promise);
        }
    }
}
