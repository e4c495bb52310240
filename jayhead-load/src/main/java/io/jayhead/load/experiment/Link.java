package io.jayhead.load.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Forwards TCP connections to one port of the loopback address and can be cut by its gate.
 *
 * <p>While the gate is shut, the link keeps its connections open and forwards nothing, like a network that drops
 * packets. A link can replace addresses in the replies of its target by others of the same length, so that the client
 * learns the addresses of links instead of those of the processes behind them. An address that is split between two
 * reads is not replaced.
 */
final class Link implements AutoCloseable {

    private static final int BUFFER_BYTES = 64 * 1024;

    private final ServerSocket server;
    private final int targetPort;
    private final Gate gate;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Map<String, String> replacements = Map.of();

    private Link(ServerSocket server, int targetPort, Gate gate) {
        this.server = server;
        this.targetPort = targetPort;
        this.gate = gate;
    }

    static Link to(int targetPort, Gate gate) {
        try {
            Link link = new Link(new ServerSocket(0, 128, InetAddress.getLoopbackAddress()), targetPort, gate);
            startThread("link-accept", link::accept);
            return link;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a link", e);
        }
    }

    /**
     * Sets the addresses to replace in replies. An address and its replacement must have the same length, to keep the
     * lengths of HTTP bodies.
     */
    void setReplacements(Map<String, String> addresses) {
        addresses.forEach((address, replacement) -> {
            if (address.length() != replacement.length()) {
                throw new IllegalArgumentException(address + " and " + replacement + " differ in length");
            }
        });
        replacements = Map.copyOf(addresses);
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket client = server.accept();
            sockets.add(client);
            startThread("link-connect", () -> connect(client));
        }
    }

    private void connect(Socket client) throws IOException, InterruptedException {
        try (client) {
            gate.awaitOpen();
            Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
            sockets.add(target);
            client.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            startThread("link-forward", () -> copy(client, target, false));
            copy(target, client, true);
        }
    }

    private void copy(Socket from, Socket to, boolean isReply) throws IOException, InterruptedException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
                gate.awaitOpen();
                output.write(isReply ? replaceAddresses(buffer, length) : buffer, 0, length);
            }
        } finally {
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    private byte[] replaceAddresses(byte[] buffer, int length) {
        if (replacements.isEmpty()) {
            return buffer;
        }
        String text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
        for (Map.Entry<String, String> entry : replacements.entrySet()) {
            text = text.replace(entry.getKey(), entry.getValue());
        }
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    /**
     * Runs a task on a daemon thread. An {@code IOException} ends it silently, since closing a socket is the normal
     * end.
     */
    private static void startThread(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        return;
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }
}
