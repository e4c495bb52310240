package io.jayhead.gateway.edge;

import io.jayhead.admission.memory.HoldingPhase;
import io.jayhead.gateway.memory.ConnectionMemory;
import io.jayhead.gateway.memory.ProcessMemory;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Limits the memory and descriptors that connections of other routers take; used by the traffic thread. */
public final class PeerConnections {

    private static final double DESCRIPTOR_SHARE = 0.15;

    private final ProcessMemory process;
    private final ConnectionLimit limit;

    /**
     * Creates an instance without connections.
     *
     * @param process the account of the process
     * @param maxDescriptors the descriptors that the process may have open; 0 if unknown
     */
    public PeerConnections(ProcessMemory process, int maxDescriptors) {
        this.process = process;
        this.limit = ConnectionLimit.ofDescriptors(maxDescriptors, DESCRIPTOR_SHARE);
    }

    /**
     * Starts to account for a connection.
     *
     * @param channel an accepted connection whose handlers are set up, the one that receives messages as the last
     */
    public void accepted(Channel channel) {
        ConnectionMemory memory = process.open(() -> ImmediateClose.close(channel));
        channel.pipeline().addFirst(new InboundPieces(memory));
        channel.pipeline().addBefore(channel.pipeline().lastContext().name(), null, new MessageListener(memory));
        channel.closeFuture().addListener(closed -> {
            limit.remove(memory);
            memory.close();
        });
        limit.add(memory, channel::close);
    }

    /** Records that a message has been decoded. */
    private static final class MessageListener extends ChannelInboundHandlerAdapter {

        private final ConnectionMemory memory;

        MessageListener(ConnectionMemory memory) {
            this.memory = memory;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            memory.decoded();
            memory.restart(HoldingPhase.RECEIVING);
            if (context.channel().isWritable()) {
                context.fireChannelRead(message);
            } else {
                context.close();
            }
        }
    }
}
