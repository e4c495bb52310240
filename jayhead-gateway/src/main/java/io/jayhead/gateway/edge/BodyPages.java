package io.jayhead.gateway.edge;

import io.jayhead.gateway.memory.ConnectionMemory;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Copies the bodies of requests into pages that are charged to the connection.
 *
 * <p>A body of chunks of one byte would otherwise cost an object for each byte, and keep the buffers in which they
 * arrived.
 */
final class BodyPages extends ChannelInboundHandlerAdapter {

    private static final int FIRST_PAGE_BYTES = 1_024;
    private static final int MAX_PAGE_BYTES = 64 * 1_024;

    private final ConnectionMemory memory;
    private ByteBuf page;
    private int nextPageBytes = FIRST_PAGE_BYTES;

    BodyPages(ConnectionMemory memory) {
        this.memory = memory;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        memory.decoded();
        if (message instanceof HttpMessage) {
            releasePage();
            nextPageBytes = FIRST_PAGE_BYTES;
        }
        if (!(message instanceof HttpContent content)) {
            context.fireChannelRead(message);
            return;
        }
        copy(context, content.content());
        if (content instanceof LastHttpContent) {
            passPage(context);
            context.fireChannelRead(content);
        } else {
            content.release();
        }
    }

    private void copy(ChannelHandlerContext context, ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (page == null) {
                page = memory.hold(new byte[nextPageBytes]).clear();
                nextPageBytes = Math.min(MAX_PAGE_BYTES, 2 * nextPageBytes);
            }
            page.writeBytes(bytes, Math.min(page.writableBytes(), bytes.readableBytes()));
            if (!page.isWritable()) {
                passPage(context);
            }
        }
    }

    private void passPage(ChannelHandlerContext context) {
        if (page == null) {
            return;
        }
        ByteBuf full = page;
        page = null;
        context.fireChannelRead(new DefaultHttpContent(full));
    }

    private void releasePage() {
        if (page != null) {
            page.release();
            page = null;
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        releasePage();
    }
}
