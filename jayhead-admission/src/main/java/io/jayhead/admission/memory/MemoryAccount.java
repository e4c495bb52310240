package io.jayhead.admission.memory;

/**
 * Accounts for the memory that all connections of a process together make it hold; immutable.
 *
 * <p>A charge always succeeds, since its memory is in use already. Whoever charges gives up holdings while the account
 * is exceeded.
 *
 * @param limitBytes the most bytes that the connections may hold together
 * @param heldBytes the bytes that they hold
 */
public record MemoryAccount(long limitBytes, long heldBytes) {

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if the limit is not positive or the held bytes are negative
     */
    public MemoryAccount {
        if (limitBytes <= 0) {
            throw new IllegalArgumentException("the limit is not positive: " + limitBytes);
        }
        if (heldBytes < 0) {
            throw new IllegalArgumentException("more bytes were released than charged: " + heldBytes);
        }
    }

    /**
     * Creates an account of which nothing is used.
     *
     * @param limitBytes the most bytes that the connections may hold together
     * @return the account
     */
    public static MemoryAccount of(long limitBytes) {
        return new MemoryAccount(limitBytes, 0);
    }

    /**
     * Adds bytes that are held from now on.
     *
     * @param bytes the bytes
     * @return the new state
     */
    public MemoryAccount charged(long bytes) {
        return new MemoryAccount(limitBytes, heldBytes + bytes);
    }

    /**
     * Removes bytes that are no longer held.
     *
     * @param bytes the bytes
     * @return the new state
     */
    public MemoryAccount released(long bytes) {
        return new MemoryAccount(limitBytes, heldBytes - bytes);
    }

    /**
     * Tells whether more is held than the limit allows.
     *
     * @return true if holdings must be given up
     */
    public boolean isExceeded() {
        return heldBytes > limitBytes;
    }

    /**
     * Returns the equal part of each connection.
     *
     * @param connections the number of connections
     * @return the bytes that one connection can hold even if all hold as much
     */
    public long fairBytes(int connections) {
        return limitBytes / Math.max(1, connections);
    }
}
