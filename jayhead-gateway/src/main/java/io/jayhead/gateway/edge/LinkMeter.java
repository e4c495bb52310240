package io.jayhead.gateway.edge;

import io.jayhead.admission.overload.LinkPressure;
import io.jayhead.gateway.log.DecisionLog;
import io.jayhead.gateway.log.LogKind;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Measures how much of the VM's link the traffic of callers uses; used by the traffic thread.
 *
 * <p>What arrives from a caller leaves towards an upstream, and the reverse, so each direction of the link carries the
 * sum of both.
 */
@ChannelHandler.Sharable
public final class LinkMeter extends ChannelDuplexHandler {

    /** The headers of TCP, IP and Ethernet for one packet. */
    private static final int PACKET_OVERHEAD_BYTES = 66;

    private static final int BITS_PER_BYTE = 8;

    private final double linkBytesPerMs;
    private final DecisionLog log;
    private long bytes;
    private long measuredAtMs;
    private volatile LinkPressure pressure = LinkPressure.none();

    /**
     * Creates a meter.
     *
     * @param linkMbps the capacity of the link in each direction, in megabits per second; 0 if it is not known
     * @param log the log
     */
    public LinkMeter(double linkMbps, DecisionLog log) {
        this.linkBytesPerMs = linkMbps * 1_000 / BITS_PER_BYTE;
        this.log = log;
    }

    /**
     * Returns the newest state; may be called by any thread.
     *
     * @return the state
     */
    public LinkPressure pressure() {
        return pressure;
    }

    /**
     * Takes what was counted since the last call into account.
     *
     * @param nowMs the time of a clock that never goes back, in milliseconds
     */
    public void measure(long nowMs) {
        long elapsedMs = nowMs - measuredAtMs;
        if (linkBytesPerMs == 0 || elapsedMs <= 0) {
            return;
        }
        LinkPressure before = pressure;
        pressure = before.measured(bytes / (elapsedMs * linkBytesPerMs), nowMs);
        bytes = 0;
        measuredAtMs = nowMs;
        if (pressure.high() != before.high()) {
            log.write(LogKind.STATE, "link pressure", "high", pressure.high(), "share", pressure.share());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        count(message);
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        count(message);
        super.write(context, message, promise);
    }

    private void count(Object message) {
        if (message instanceof ByteBuf buffer) {
            bytes += buffer.readableBytes() + PACKET_OVERHEAD_BYTES;
        }
    }
}
