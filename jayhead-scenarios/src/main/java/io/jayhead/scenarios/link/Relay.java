package io.jayhead.scenarios.link;

import io.jayhead.scenarios.language.LinkState;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;

/** Forwards TCP connections to one process. The link from each connecting process has its own {@link LinkState}. */
public final class Relay implements AutoCloseable {

    private static final int BACKLOG = 128;
    private static final long ACCEPTOR_JOIN_MS = 5_000;

    private final int port;
    private final IntFunction<String> sourceOfPort;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private volatile ServerSocket server;
    private volatile Thread acceptor;
    private volatile InetSocketAddress target;

    /**
     * Starts a relay on a free port of 127.0.0.1.
     *
     * @param sourceOfPort finds the name of the process that owns a local TCP port
     */
    public Relay(IntFunction<String> sourceOfPort) {
        this.sourceOfPort = sourceOfPort;
        server = listen(0);
        port = server.getLocalPort();
    }

    /** Returns the address of the relay, as IP:PORT. */
    public String address() {
        return "127.0.0.1:" + port;
    }

    /**
     * Sets the target of new connections, and listens again after {@link #stopListening()}.
     *
     * @param address the address of the process, as IP:PORT; only the port counts, the target is on 127.0.0.1
     */
    public synchronized void forwardTo(String address) {
        if (server.isClosed()) {
            server = listen(port);
        }
        int colon = address.lastIndexOf(':');
        target = new InetSocketAddress("127.0.0.1", Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * Sets the state of the link from a process.
     *
     * @param source the name of the connecting process
     * @param state the state
     */
    public void setLinkState(String source, LinkState state) {
        link(source).set(state);
    }

    /**
     * Makes connections from a process silent for good that are open now, while new ones work.
     *
     * @param source the name of the connecting process
     * @param chosen selects connections by their position, from the oldest open one
     */
    public void silenceOpen(String source, IntPredicate chosen) {
        link(source).silenceOpen(chosen);
    }

    /**
     * Stops listening, so that new connections are refused like those to a dead process.
     *
     * <p>The kernel keeps a closed server socket open while a thread is blocked in accept. This method therefore waits
     * for the acceptor thread to end.
     */
    public synchronized void stopListening() {
        try {
            server.close();
            acceptor.join(ACCEPTOR_JOIN_MS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        stopListening();
        links.values().forEach(link -> link.set(LinkState.CUT));
    }

    private Link link(String source) {
        return links.computeIfAbsent(source, name -> new Link());
    }

    private ServerSocket listen(int listenPort) {
        try {
            ServerSocket serverSocket = new ServerSocket();
            serverSocket.setReuseAddress(true);
            serverSocket.bind(new InetSocketAddress("127.0.0.1", listenPort), BACKLOG);
            acceptor = startDaemon(() -> accept(serverSocket), "relay-accept");
            return serverSocket;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a relay on port " + listenPort, e);
        }
    }

    private void accept(ServerSocket listener) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                startDaemon(() -> serve(socket), "relay-forward");
            } catch (IOException e) {
                // The relay was closed, or a connection was lost before accept returned it.
                continue;
            }
        }
    }

    private void serve(Socket socket) {
        InetSocketAddress currentTarget = target;
        RelayedConnection connection = new RelayedConnection(link(sourceOfPort.apply(socket.getPort())), socket);
        if (currentTarget == null) {
            connection.close();
            return;
        }
        connection.run(currentTarget);
    }

    private static Thread startDaemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
