package io.jayhead.scenarios.run;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds free ports and never returns one twice, because scenarios run side by side. */
final class FreePorts {

    private static final Set<Integer> TAKEN = new HashSet<>();

    private FreePorts() {}

    static synchronized String address() {
        while (true) {
            int port = free();
            if (TAKEN.add(port)) {
                return "127.0.0.1:" + port;
            }
        }
    }

    private static int free() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("no free port", e);
        }
    }
}
