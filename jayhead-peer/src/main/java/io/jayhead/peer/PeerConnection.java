package io.jayhead.peer;

import io.jayhead.peer.pb.Frame;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds one connection to another router and matches replies with requests by their correlation ids.
 *
 * <p>A request that times out closes the connection if nothing arrived on it since the request was sent. If the other
 * end no longer knows the connection, neither an error nor data arrives on it, so the next request must use a new
 * connection.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Frame> {

    private final InetSocketAddress address;
    private final String peer;
    private final PeerTrafficListener traffic;
    private final AtomicLong nextCorrelation = new AtomicLong(1);
    private final AtomicLong receivedFrames = new AtomicLong();
    private final ConcurrentMap<Long, CompletableFuture<Frame>> pending = new ConcurrentHashMap<>();
    private final List<Frame> waitingForConnect = new ArrayList<>();
    private ChannelHandlerContext context;
    private volatile boolean closed;

    PeerConnection(InetSocketAddress address, PeerTrafficListener traffic) {
        this.address = address;
        this.peer = address.getHostString() + ":" + address.getPort();
        this.traffic = traffic;
    }

    CompletableFuture<Frame> request(Frame request, long timeoutMs) {
        long correlation = nextCorrelation.getAndIncrement();
        long receivedBefore = receivedFrames.get();
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        pending.put(correlation, reply);
        send(request.toBuilder().setCorrelation(correlation).build());
        if (closed) {
            fail("connection to " + address + " is closed");
        }
        return reply.orTimeout(timeoutMs, TimeUnit.MILLISECONDS).whenComplete((frame, failure) -> {
            pending.remove(correlation);
            if (failure != null && receivedFrames.get() == receivedBefore) {
                fail("no reply from " + address + " within " + timeoutMs + " ms");
            }
        });
    }

    boolean isClosed() {
        return closed;
    }

    synchronized void close() {
        closed = true;
        if (context != null) {
            context.close();
        }
    }

    void fail(String reason) {
        close();
        pending.values().forEach(reply -> reply.completeExceptionally(new PeerException(reason)));
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        synchronized (this) {
            context = newContext;
            waitingForConnect.forEach(newContext::write);
            waitingForConnect.clear();
            if (closed) {
                newContext.close();
            }
        }
        newContext.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext oldContext) {
        fail("connection to " + address + " was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failedContext, Throwable cause) {
        fail("connection to " + address + " failed: " + cause.getMessage());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext readContext, Frame frame) {
        receivedFrames.incrementAndGet();
        traffic.received(peer, frame);
        CompletableFuture<Frame> reply = pending.remove(frame.getCorrelation());
        if (reply == null) {
            // The request has already ended, such as by its timeout.
            return;
        }
        if (frame.hasFailure()) {
            reply.completeExceptionally(
                    new PeerException(address + " failed: " + frame.getFailure().getMessage()));
            return;
        }
        reply.complete(frame);
    }

    private synchronized void send(Frame frame) {
        traffic.sent(peer, frame);
        if (context == null) {
            waitingForConnect.add(frame);
            return;
        }
        context.writeAndFlush(frame);
    }
}
