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
    private final HeadListener head;
    private boolean discarding;

    InboundPieces(ConnectionMemory memory) {
        this(memory, HeadListener.NONE);
    }

    InboundPieces(ConnectionMemory memory, HeadListener head) {
        this.memory = memory;
        this.head = head;
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

    private static boolean isBlank(byte[] bytes) {
        for (byte next : bytes) {
            if (next != '\r' && next != '\n') {
                return false;
            }
        }
        return true;
    }

    private void pass(ChannelHandlerContext context, ByteBuf bytes) {
        byte[] copy = new byte[Math.min(PIECE_BYTES, bytes.readableBytes())];
        bytes.readBytes(copy);
        ByteBuf piece = Unpooled.wrappedBuffer(copy);
        memory.received(copy.length);
        head.arriving(isBlank(copy));
        context.fireChannelRead(piece);
        boolean isKept = piece.refCnt() > 0;
        memory.settleReceived(isKept ? copy.length : 0);
        head.decoded(isKept);
        memory.shedIfExceeded();
    }
}
