package io.jayhead.scenarios.run;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Finds free ports for the routers of one scenario, from a start that its name and this process determine.
 *
 * <p>The process counts because two test runs on one machine would otherwise race for the same ports.
 *
 * <p>The ports lie below those that the kernel gives to outgoing connections. A port found free above that bound was
 * taken by a connection before the router listened.
 */
public final class FreePorts {

    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 32_000;
    private static final int PORTS_PER_SCENARIO = 40;
    private static final int PROCESS = Long.hashCode(ProcessHandle.current().pid());
    private static final Set<Integer> TAKEN = new HashSet<>();

    private int next;

    /**
     * Creates a source of ports.
     *
     * @param scenario a text that decides where the search begins
     */
    public FreePorts(String scenario) {
        int places = (END_PORT - FIRST_PORT) / PORTS_PER_SCENARIO;
        next = FIRST_PORT + Math.floorMod(scenario.hashCode() + PROCESS, places) * PORTS_PER_SCENARIO;
    }

    /**
     * Returns an address that nobody listens on and that was not returned before.
     *
     * @return the address, as IP:PORT
     */
    public String address() {
        synchronized (TAKEN) {
            while (!isFree(next) || !TAKEN.add(next)) {
                next = next + 1 < END_PORT ? next + 1 : FIRST_PORT;
            }
            return "127.0.0.1:" + next;
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
