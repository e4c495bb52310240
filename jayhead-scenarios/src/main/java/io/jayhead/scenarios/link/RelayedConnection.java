package io.jayhead.scenarios.link;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Forwards bytes in both directions between a connecting process and its target. */
final class RelayedConnection {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int DIRECTIONS = 2;

    private final Link link;
    private final Socket clientSocket;
    private final Socket targetSocket = new Socket();
    private final AtomicInteger openDirections = new AtomicInteger(DIRECTIONS);
    private volatile boolean silent;

    RelayedConnection(Link link, Socket clientSocket) {
        this.link = link;
        this.clientSocket = clientSocket;
    }

    /**
     * Connects to the target and forwards bytes in both directions. Returns when the direction to the target is closed;
     * another thread serves the other direction.
     */
    void run(InetSocketAddress target) {
        if (!link.add(this)) {
            close();
            return;
        }
        try {
            link.awaitForwarding(true);
            targetSocket.connect(target, CONNECT_TIMEOUT_MS);
            clientSocket.setTcpNoDelay(true);
            targetSocket.setTcpNoDelay(true);
            Thread returnThread = new Thread(() -> forward(targetSocket, clientSocket, false), "relay-back");
            returnThread.setDaemon(true);
            returnThread.start();
            forward(clientSocket, targetSocket, true);
        } catch (IOException e) {
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close();
        }
    }

    /** Keeps the connection open and forwards nothing from now on; its kernels go on to acknowledge. */
    void silence() {
        silent = true;
    }

    /** Closes both sockets with a TCP reset, which both processes see as a lost connection. */
    void close() {
        reset(clientSocket);
        reset(targetSocket);
    }

    private void forward(Socket from, Socket to, boolean towardsTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                link.awaitForwarding(towardsTarget);
                if (!silent) {
                    output.write(buffer, 0, count);
                }
            }
            link.awaitForwarding(towardsTarget);
            if (!silent) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close();
        }
        if (openDirections.decrementAndGet() == 0) {
            link.remove(this);
            close();
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is closed already.
            return;
        }
    }
}
