package io.jayhead.gateway.upstream;

import io.jayhead.gateway.wire.WireDialect;
import io.jayhead.routing.registry.Upstream;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Pools the connections of this router to one incarnation of an upstream. Used by the thread of its event loop, the
 * traffic thread.
 */
final class UpstreamConnectionPool {

    /**
     * If a SYN is not answered within this time, which is several round trips, it was lost or the upstream is
     * unreachable.
     */
    static final int CONNECT_TIMEOUT_MS = 250;
    /**
     * Idle connections are closed after this time, or earlier if the upstream reports a shorter idle timeout, so that
     * the upstream does not close them first.
     */
    static final long IDLE_LIMIT_MS = 4_000;

    /** The longest wait for a connection that another request uses. */
    private static final long MAX_WAIT_MS = 250;

    private final Upstream upstream;
    private final EventLoop loop;
    private final WireDialect dialect;
    private final ConnectionListener listener;
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    /** The attempts that wait for a connection, because all that this router may have are in use. */
    private final Deque<AttemptListener> waiting = new ArrayDeque<>();

    /** The actions that wait for the connection that shows whether the upstream is listening. */
    private final List<Runnable> whenNotListening = new ArrayList<>();

    private int openConnections;

    UpstreamConnectionPool(Upstream upstream, EventLoop loop, WireDialect dialect, ConnectionListener listener) {
        this.upstream = upstream;
        this.loop = loop;
        this.dialect = dialect;
        this.listener = listener;
    }

    int openConnections() {
        return openConnections;
    }

    void acquire(int maxConnections, AttemptListener attempt) {
        long nowNs = System.nanoTime();
        for (UpstreamConnection next = idle.pollFirst(); next != null; next = idle.pollFirst()) {
            if (next.isUsable(nowNs) && next.isFit(attempt.requestId())) {
                attempt.connected(next);
                return;
            }
            next.close();
        }
        if (openConnections >= maxConnections) {
            awaitConnection(attempt);
            return;
        }
        connect(attempt);
    }

    /** Opens a connection, which stays in the pool, and runs the action if that fails. */
    void ifNotListening(Runnable action) {
        whenNotListening.add(action);
        if (whenNotListening.size() == 1) {
            connect(this::listening, this::notListening);
        }
    }

    private void listening(UpstreamConnection connection) {
        whenNotListening.clear();
        released(connection);
    }

    private void notListening() {
        List<Runnable> actions = List.copyOf(whenNotListening);
        whenNotListening.clear();
        actions.forEach(Runnable::run);
    }

    private void connect(AttemptListener attempt) {
        connect(attempt::connected, attempt::notConnected);
    }

    private void connect(Consumer<UpstreamConnection> onConnected, Runnable onFailure) {
        openConnections++;
        listener.opened();
        UpstreamConnection connection = new UpstreamConnection(dialect, this, IDLE_LIMIT_MS);
        InetSocketAddress address = new InetSocketAddress(upstream.host(), upstream.port());
        Connector.connect(loop, address, CONNECT_TIMEOUT_MS, new HttpRequestEncoder(), connection.decoder(), connection)
                .addListener(future -> {
                    if (future.isSuccess()) {
                        onConnected.accept(connection);
                    } else {
                        openConnections--;
                        onFailure.run();
                    }
                });
    }

    private void awaitConnection(AttemptListener attempt) {
        waiting.add(attempt);
        loop.schedule(
                () -> {
                    if (waiting.remove(attempt)) {
                        attempt.allConnectionsInUse();
                    }
                },
                MAX_WAIT_MS,
                TimeUnit.MILLISECONDS);
    }

    void unsolicited(UnsolicitedBytes kind, String requestId) {
        listener.unsolicited(upstream.incarnation(), kind, requestId);
    }

    void released(UpstreamConnection connection) {
        if (waiting.isEmpty()) {
            idle.addFirst(connection);
        } else if (connection.isFit(waiting.peek().requestId())) {
            waiting.poll().connected(connection);
        } else {
            connection.close();
        }
    }

    void closed(UpstreamConnection connection) {
        openConnections--;
        idle.remove(connection);
        AttemptListener next = waiting.poll();
        if (next != null) {
            connect(next);
        }
    }

    void closeExpired(long nowNs) {
        while (!idle.isEmpty() && !idle.peekLast().isUsable(nowNs)) {
            idle.pollLast().close();
        }
    }

    void closeIdle() {
        for (UpstreamConnection next = idle.pollFirst(); next != null; next = idle.pollFirst()) {
            next.close();
        }
    }
}
