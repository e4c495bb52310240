package io.jayhead.daemon.support;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports, each only once in a test run. They lie below those that the kernel gives to outgoing connections,
 * which could otherwise take a port between the check and its use.
 */
public final class FreePorts {

    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;

    /** Starts at a place of this process, so that builds side by side seldom try the same ports. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 137 % PORTS));

    private FreePorts() {}

    /**
     * Returns a port that was not returned before.
     *
     * @return the port
     */
    public static int next() {
        while (true) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
            if (isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
