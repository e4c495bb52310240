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

/** Accepts connections to one process and forwards them, with a state for each connecting process. */
public final class Relay implements AutoCloseable {

    private static final int BACKLOG = 128;
    private static final long ACCEPTOR_END_MS = 5_000;

    private final int port;
    private final IntFunction<String> sourceOfPort;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private volatile ServerSocket server;
    private volatile Thread acceptor;
    private volatile InetSocketAddress target;

    /**
     * Starts a relay.
     *
     * @param sourceOfPort finds the name of the process that owns a local TCP port
     */
    public Relay(IntFunction<String> sourceOfPort) {
        this.sourceOfPort = sourceOfPort;
        server = listen(0);
        port = server.getLocalPort();
    }

    /** Returns the address that others connect to, as IP:PORT. */
    public String address() {
        return "127.0.0.1:" + port;
    }

    /**
     * Sets where connections go, and listens again after {@link #refuse()}.
     *
     * @param address the address of the process, as IP:PORT
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
    public void set(String source, LinkState state) {
        link(source).set(state);
    }

    /**
     * Stops to listen, so that new connections are refused as those to a dead process are.
     *
     * <p>The kernel keeps a closed server socket open while a thread waits in accept, so the end of that thread is
     * awaited.
     */
    public synchronized void refuse() {
        try {
            server.close();
            acceptor.join(ACCEPTOR_END_MS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        refuse();
        links.values().forEach(link -> link.set(LinkState.CUT));
    }

    private Link link(String source) {
        return links.computeIfAbsent(source, name -> new Link());
    }

    private ServerSocket listen(int listenPort) {
        try {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress("127.0.0.1", listenPort), BACKLOG);
            acceptor = daemon(() -> accept(opened), "relay-accept");
            return opened;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a relay on port " + listenPort, e);
        }
    }

    private void accept(ServerSocket listener) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                daemon(() -> serve(socket), "relay-forward");
            } catch (IOException e) {
                // The relay was closed, or one connection was lost before it was accepted.
                continue;
            }
        }
    }

    private void serve(Socket socket) {
        InetSocketAddress to = target;
        RelayedConnection connection = new RelayedConnection(link(sourceOfPort.apply(socket.getPort())), socket);
        if (to == null) {
            connection.close();
            return;
        }
        connection.run(to);
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
