package io.jayhead.gateway.edge;

import io.jayhead.admission.overload.LinkPressure;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Measures the share of the VM's network link that the traffic of callers uses; used by the traffic thread.
 *
 * <p>Bytes that arrive from a caller leave towards an upstream, and the reverse, so each direction of the link carries
 * the sum of received and sent bytes.
 */
@ChannelHandler.Sharable
public final class LinkMeter extends ChannelDuplexHandler {

    /** The size of the TCP, IP and Ethernet headers of one packet. */
    private static final int PACKET_OVERHEAD_BYTES = 66;

    private static final int BITS_PER_BYTE = 8;

    private final double linkBytesPerMs;
    private final StructuredLog log;
    private long bytes;
    private long measuredAtMs;
    private volatile LinkPressure pressure = LinkPressure.none();

    /**
     * Creates a meter.
     *
     * @param linkMbps the capacity of the link in each direction, in megabits per second; 0 if unknown, in which case
     *     no pressure is reported
     * @param log receives changes between high and normal pressure
     */
    public LinkMeter(double linkMbps, StructuredLog log) {
        this.linkBytesPerMs = linkMbps * 1_000 / BITS_PER_BYTE;
        this.log = log;
    }

    /**
     * Returns the pressure of the last measurement; may be called by any thread.
     *
     * @return the pressure
     */
    public LinkPressure pressure() {
        return pressure;
    }

    /**
     * Updates the pressure from the bytes counted since the last call.
     *
     * @param nowMs the time of a monotonic clock in milliseconds
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
