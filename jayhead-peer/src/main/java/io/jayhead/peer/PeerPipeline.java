package io.jayhead.peer;

import io.jayhead.peer.pb.Frame;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Sets up the codec of a peer connection: a 4-byte length before each protobuf message. */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {

    /** Upper bound for the largest message, a fleet text of 1 MB with its envelope. */
    private static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    private static final int LENGTH_FIELD_BYTES = 4;

    private final Supplier<ChannelHandler> handler;
    private final Consumer<Channel> onSetUp;

    PeerPipeline(Supplier<ChannelHandler> handler) {
        this(handler, channel -> {});
    }

    PeerPipeline(Supplier<ChannelHandler> handler, Consumer<Channel> onSetUp) {
        this.handler = handler;
        this.onSetUp = onSetUp;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        LengthFieldBasedFrameDecoder frames =
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
        // An incomplete message takes no more memory than its bytes.
        frames.setCumulator(ByteToMessageDecoder.COMPOSITE_CUMULATOR);
        channel.pipeline()
                .addLast(frames)
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                .addLast(new ProtobufEncoder())
                .addLast(handler.get());
        onSetUp.accept(channel);
    }
}
