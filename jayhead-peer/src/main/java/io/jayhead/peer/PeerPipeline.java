package io.jayhead.peer;

import io.jayhead.peer.pb.Frame;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.function.Supplier;

/** Sets up the codec of a peer connection: a 4-byte length before each protobuf message. */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {

    /** Upper bound for the largest message, a fleet text of 1 MB with its envelope. */
    private static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    private static final int LENGTH_FIELD_BYTES = 4;

    private final Supplier<ChannelHandler> handler;

    PeerPipeline(Supplier<ChannelHandler> handler) {
        this.handler = handler;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                .addLast(new ProtobufEncoder())
                .addLast(handler.get());
    }
}
