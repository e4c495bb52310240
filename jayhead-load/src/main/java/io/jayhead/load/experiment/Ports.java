package io.jayhead.load.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on the loopback address. */
final class Ports {

    private Ports() {}

    /**
     * Returns distinct free ports. It keeps each socket open until the last port is found, so that no port is found
     * twice.
     */
    static List<Integer> free(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } catch (IOException e) {
            throw new UncheckedIOException("no free port", e);
        } finally {
            sockets.forEach(Ports::close);
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot release a port", e);
        }
    }
}
