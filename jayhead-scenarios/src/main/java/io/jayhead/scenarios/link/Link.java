package io.jayhead.scenarios.link;

import io.jayhead.scenarios.language.LinkState;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** Holds the state and the open connections of the link from one process to another. */
final class Link {

    private LinkState state = LinkState.HEAL;
    private final List<RelayedConnection> connections = new ArrayList<>();

    synchronized void set(LinkState next) {
        state = next;
        if (next == LinkState.CUT) {
            connections.forEach(RelayedConnection::close);
            connections.clear();
        }
        notifyAll();
    }

    /** Adds a connection. Returns false if the link is cut. */
    synchronized boolean add(RelayedConnection connection) {
        if (state == LinkState.CUT) {
            return false;
        }
        connections.add(connection);
        return true;
    }

    synchronized void remove(RelayedConnection connection) {
        connections.remove(connection);
    }

    /**
     * Makes connections that are open now silent for good; later ones are not affected.
     *
     * @param chosen selects connections by their position, from the oldest open one
     */
    synchronized void silenceOpen(IntPredicate chosen) {
        IntStream.range(0, connections.size())
                .filter(chosen)
                .forEach(index -> connections.get(index).silence());
    }

    /** Waits until the link forwards bytes in a direction, then for the delay of its state. */
    void awaitForwarding(boolean towardsTarget) throws InterruptedException {
        Thread.sleep(awaitOpen(towardsTarget));
    }

    /** Waits until the link forwards bytes in a direction and returns the delay of its state in milliseconds. */
    private synchronized int awaitOpen(boolean towardsTarget) throws InterruptedException {
        while (state.holds(towardsTarget)) {
            wait();
        }
        return state.delayMs();
    }
}
