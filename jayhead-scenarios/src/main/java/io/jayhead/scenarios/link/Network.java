package io.jayhead.scenarios.link;

import io.jayhead.scenarios.language.LinkState;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** Connects the processes of one scenario through relays, whose links can fail. */
public final class Network implements AutoCloseable {

    private static final String UNREGISTERED = "outside";

    private final Map<String, Relay> relays = new ConcurrentHashMap<>();
    private final Map<String, Long> pids = new ConcurrentHashMap<>();

    /**
     * Returns the relay to a process and opens it on the first call.
     *
     * @param node the name of the process
     * @return the relay
     */
    public Relay relay(String node) {
        return relays.computeIfAbsent(node, name -> new Relay(this::sourceOfPort));
    }

    /**
     * Registers the id of a process, so that relays recognise the connections that it opens.
     *
     * @param node the name of the process
     * @param pid the process id
     */
    public void register(String node, long pid) {
        pids.put(node, pid);
    }

    /**
     * Sets the state of the links between two processes, in both directions.
     *
     * @param state the state
     * @param first a process
     * @param second another process
     * @throws IllegalArgumentException if a process is not registered
     */
    public void setLinkState(LinkState state, String first, String second) {
        Stream.of(first, second).filter(name -> !pids.containsKey(name)).forEach(name -> {
            throw new IllegalArgumentException("no process " + name);
        });
        relay(second).setLinkState(first, state);
        relay(first).setLinkState(second, state);
    }

    @Override
    public void close() {
        relays.values().forEach(Relay::close);
    }

    private String sourceOfPort(int port) {
        return SocketOwner.find(port, pids).orElse(UNREGISTERED);
    }
}
