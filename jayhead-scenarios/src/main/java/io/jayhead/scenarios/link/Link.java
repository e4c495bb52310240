package io.jayhead.scenarios.link;

import io.jayhead.scenarios.language.LinkState;
import java.util.ArrayList;
import java.util.List;

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
