package io.jayhead.scenarios.run;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Finds free ports for the routers of one scenario. The search starts at a port that is derived from a text,
 * such as the name of the scenario, and from the process id.
 *
 * <p>The process id is included because two test runs on one host would otherwise race for the same ports.
 *
 * <p>All ports are below the range from which the kernel assigns ports to outgoing connections. A free port in that
 * range was once taken by a connection before the router listened on it.
 */
public final class FreePorts {

    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 32_000;
    /** Distance between the first ports of two searches; a search may return more ports than this. */
    private static final int PORTS_PER_SCENARIO = 40;

    private static final int PROCESS_HASH =
            Long.hashCode(ProcessHandle.current().pid());
    private static final Set<Integer> TAKEN = new HashSet<>();

    private int nextPort;

    /**
     * Creates a finder of free ports.
     *
     * @param scenario the text from which the first port is derived, such as the name of the scenario
     */
    public FreePorts(String scenario) {
        int portRanges = (END_PORT - FIRST_PORT) / PORTS_PER_SCENARIO;
        nextPort = FIRST_PORT + Math.floorMod(scenario.hashCode() + PROCESS_HASH, portRanges) * PORTS_PER_SCENARIO;
    }

    /**
     * Returns an address on which no process listens and which this process has not returned before.
     *
     * @return the address, as IP:PORT
     */
    public String nextAddress() {
        synchronized (TAKEN) {
            while (!isFree(nextPort) || !TAKEN.add(nextPort)) {
                nextPort = nextPort + 1 < END_PORT ? nextPort + 1 : FIRST_PORT;
            }
            return "127.0.0.1:" + nextPort;
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
