package io.jayhead.scenarios.link;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Forwards bytes between two sockets in both directions. */
final class RelayedConnection {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int DIRECTIONS = 2;

    private final Link link;
    private final Socket near;
    private final Socket far = new Socket();
    private final AtomicInteger openDirections = new AtomicInteger(DIRECTIONS);

    RelayedConnection(Link link, Socket near) {
        this.link = link;
        this.near = near;
    }

    /** Connects and forwards until both ends are closed. */
    void run(InetSocketAddress target) {
        if (!link.add(this)) {
            close();
            return;
        }
        try {
            link.awaitForwarding(true);
            far.connect(target, CONNECT_TIMEOUT_MS);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Thread back = new Thread(() -> forward(far, near, false), "relay-back");
            back.setDaemon(true);
            back.start();
            forward(near, far, true);
        } catch (IOException e) {
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close();
        }
    }

    /** Closes both sockets with a reset, as a lost connection ends. */
    void close() {
        reset(near);
        reset(far);
    }

    private void forward(Socket from, Socket to, boolean towardsTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                link.awaitForwarding(towardsTarget);
                output.write(buffer, 0, count);
            }
            link.awaitForwarding(towardsTarget);
            to.shutdownOutput();
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
            // The socket was closed before, which is the state wanted.
            return;
        }
    }
}
