package io.jayhead.gateway.edge;

import io.jayhead.admission.memory.HoldingPhase;
import io.jayhead.gateway.memory.ConnectionMemory;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the open connections of one server, so that descriptors are left for others; used by the traffic thread.
 *
 * <p>At the limit, the connection that has waited longest for its next request or the rest of it is closed.
 */
final class ConnectionLimit {

    private final int maxConnections;
    private final Map<ConnectionMemory, Runnable> open = new HashMap<>();

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /**
     * Limits the connections to a share of the descriptors of the process.
     *
     * @param maxDescriptors the descriptors that the process may have open; 0 if unknown, which sets no limit
     * @param share the share of one server
     */
    static ConnectionLimit ofDescriptors(int maxDescriptors, double share) {
        return new ConnectionLimit(maxDescriptors == 0 ? Integer.MAX_VALUE : (int) (maxDescriptors * share));
    }

    /**
     * Adds a connection, and closes one if there are too many.
     *
     * @param memory the memory of the connection
     * @param close closes the connection
     */
    void add(ConnectionMemory memory, Runnable close) {
        open.put(memory, close);
        if (open.size() <= maxConnections) {
            return;
        }
        ConnectionMemory closed = longestWaiting().orElse(memory);
        open.remove(closed).run();
    }

    void remove(ConnectionMemory memory) {
        open.remove(memory);
    }

    private Optional<ConnectionMemory> longestWaiting() {
        return open.keySet().stream()
                .filter(memory -> memory.holding().phase() == HoldingPhase.RECEIVING)
                .min(Comparator.comparingLong(memory -> memory.holding().sinceMs()));
    }
}
