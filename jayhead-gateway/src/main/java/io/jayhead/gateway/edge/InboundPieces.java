package io.jayhead.gateway.edge;

import io.jayhead.gateway.memory.ConnectionMemory;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Splits received bytes into small copies, and sheds connections between them while the process holds too much.
 *
 * <p>A decoder keeps the buffer of the last read until it has the rest of a line. Without the copies that is a direct
 * buffer of up to 64 KB for each connection.
 */
final class InboundPieces extends ChannelInboundHandlerAdapter {

    private static final int PIECE_BYTES = 8_192;

    private final ConnectionMemory memory;
    private boolean discarding;

    InboundPieces(ConnectionMemory memory) {
        this.memory = memory;
    }

    /** Discards everything that arrives from now on. */
    void discard() {
        discarding = true;
    }

    boolean isDiscarding() {
        return discarding;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            ReferenceCountUtil.release(message);
            return;
        }
        try {
            while (bytes.isReadable() && !discarding && context.channel().isOpen()) {
                pass(context, bytes);
            }
        } finally {
            bytes.release();
        }
    }

    private void pass(ChannelHandlerContext context, ByteBuf bytes) {
        byte[] copy = new byte[Math.min(PIECE_BYTES, bytes.readableBytes())];
        bytes.readBytes(copy);
        ByteBuf piece = Unpooled.wrappedBuffer(copy);
        memory.received(copy.length);
        context.fireChannelRead(piece);
        memory.settleReceived(piece.refCnt() == 0 ? 0 : copy.length);
        memory.shedIfExceeded();
    }
}
