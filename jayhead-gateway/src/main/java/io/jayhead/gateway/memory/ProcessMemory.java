package io.jayhead.gateway.memory;

import io.jayhead.admission.memory.MemoryAccount;
import io.jayhead.admission.memory.SheddingOrder;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/** The account of the memory that all connections make the router hold; used by the traffic thread. */
public final class ProcessMemory {

    /** The rest of the heap is for the router itself and for garbage that is not collected yet. */
    private static final double HEAP_SHARE = 0.3;
    /** The part of the account that a single answer may use while it is collected. */
    private static final double ANSWER_SHARE = 0.7;

    private static final int MAX_ANSWER_BYTES = 16 * 1_024 * 1_024;

    private final Set<ConnectionMemory> connections = new LinkedHashSet<>();
    private MemoryAccount account;
    private boolean shedding;

    /** Creates an account whose limit is a part of the largest heap of this process. */
    public ProcessMemory() {
        this((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    }

    ProcessMemory(long limitBytes) {
        account = MemoryAccount.of(limitBytes);
    }

    /**
     * Starts the accounting of a connection.
     *
     * @param shed closes the connection or refuses its request
     * @return the memory of the connection
     */
    public ConnectionMemory open(Runnable shed) {
        ConnectionMemory memory = new ConnectionMemory(this, shed);
        connections.add(memory);
        return memory;
    }

    /**
     * Returns the size of the largest answer that is collected.
     *
     * @return the limit in bytes
     */
    public long maxAnswerBytes() {
        return Math.min(MAX_ANSWER_BYTES, (long) (account.limitBytes() * ANSWER_SHARE));
    }

    /** Gives up holdings until the account is within its limit; called where no request is being decoded. */
    void shedIfExceeded() {
        if (shedding) {
            return;
        }
        shedding = true;
        try {
            shedUntilWithinLimit();
        } finally {
            shedding = false;
        }
    }

    private void shedUntilWithinLimit() {
        while (account.isExceeded()) {
            Optional<ConnectionMemory> next =
                    SheddingOrder.next(connections, ConnectionMemory::holding, account, nowMs());
            if (next.isEmpty()) {
                return;
            }
            connections.remove(next.get());
            next.get().shed();
        }
    }

    void closed(ConnectionMemory memory) {
        connections.remove(memory);
    }

    void charge(long bytes) {
        account = account.charged(bytes);
    }

    void release(long bytes) {
        account = account.released(bytes);
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
