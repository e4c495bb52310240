package io.jayhead.gateway.memory;

import io.jayhead.admission.memory.Holding;
import io.jayhead.admission.memory.HoldingPhase;
import io.netty.buffer.ByteBuf;

/** The memory that one connection makes the router hold, in both directions; used by the traffic thread. */
public final class ConnectionMemory {

    /** The objects of an open connection: channel, pipeline, handlers and timer. */
    private static final int CONNECTION_BYTES = 4 * 1_024;

    private final ProcessMemory process;
    private final Runnable shed;
    private HoldingPhase phase = HoldingPhase.RECEIVING;
    private long sinceMs = ProcessMemory.nowMs();
    private long heldBytes;
    private long headBytes;
    private long undecodedBytes;
    /** Whether a part of a message has been decoded since the last bytes arrived. */
    private boolean decoded;

    private boolean closed;

    ConnectionMemory(ProcessMemory process, Runnable shed) {
        this.process = process;
        this.shed = shed;
        charge(CONNECTION_BYTES);
    }

    /**
     * Records what the connection waits for.
     *
     * @param next the phase from now on
     */
    public void enter(HoldingPhase next) {
        if (phase != next) {
            restart(next);
        }
    }

    /**
     * Records that the connection begins to wait for something else of the same kind, such as its next request.
     *
     * @param next the phase from now on
     */
    public void restart(HoldingPhase next) {
        phase = next;
        sinceMs = ProcessMemory.nowMs();
    }

    /**
     * Returns what the connection holds.
     *
     * @return the current holding
     */
    public Holding holding() {
        return new Holding(phase, heldBytes, sinceMs);
    }

    /**
     * Charges bytes until the buffer that holds them is released.
     *
     * @param bytes the bytes; the buffer uses the array itself
     * @return a buffer with all the bytes
     */
    public ByteBuf hold(byte[] bytes) {
        return new ChargedBuffer(this, bytes);
    }

    /**
     * Charges bytes that a decoder may keep until it has the rest of a line.
     *
     * @param bytes the number of bytes that have arrived
     */
    public void received(int bytes) {
        decoded = false;
        if (closed) {
            return;
        }
        undecodedBytes += bytes;
        charge(bytes);
    }

    /** Records that a part of a message has been decoded. */
    public void decoded() {
        decoded = true;
    }

    /**
     * Ends the charge of received bytes if a part of a message has been decoded since they arrived.
     *
     * @param keptBytes the most bytes that the decoder still keeps then
     */
    public void settleReceived(int keptBytes) {
        if (closed || !decoded) {
            return;
        }
        release(undecodedBytes - keptBytes);
        undecodedBytes = keptBytes;
    }

    /**
     * Tells whether a part of a request has arrived that has not ended yet.
     *
     * @return true if a head is held, or bytes that are not decoded
     */
    public boolean holdsRequest() {
        return headBytes > 0 || undecodedBytes > 0;
    }

    /**
     * Gives up what the connection holds if the process holds too much; another connection may be given up instead.
     */
    public void shedIfExceeded() {
        process.shedIfExceeded();
    }

    /** Ends the accounting of the connection; buffers that are still in use stay charged to the process. */
    public void close() {
        if (closed) {
            return;
        }
        release(CONNECTION_BYTES + headBytes + undecodedBytes);
        headBytes = 0;
        undecodedBytes = 0;
        closed = true;
        process.closed(this);
    }

    void charge(long bytes) {
        heldBytes += bytes;
        process.charge(bytes);
    }

    void release(long bytes) {
        heldBytes -= bytes;
        process.release(bytes);
    }

    void chargeHead(int bytes) {
        decoded = true;
        if (closed) {
            return;
        }
        headBytes += bytes;
        charge(bytes);
    }

    /** Releases the charge of a head; one of a closed connection is released already. */
    void releaseHead(int bytes) {
        if (closed) {
            return;
        }
        headBytes -= bytes;
        release(bytes);
    }

    /** Closes the connection, or refuses its request. */
    void shed() {
        shed.run();
    }
}
