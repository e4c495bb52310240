package io.jayhead.gateway.exchange;

import io.jayhead.gateway.memory.ConnectionMemory;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** The body of an answer while it is collected, charged to the connection of its caller; used by the traffic thread. */
final class AnswerBody {

    private final ConnectionMemory memory;
    private final long limitBytes;
    private List<ByteBuf> parts = new ArrayList<>(1);
    private long sizeBytes;

    /**
     * Creates an empty body.
     *
     * @param memory the memory of the caller's connection
     * @param limitBytes the size of the largest body
     */
    AnswerBody(ConnectionMemory memory, long limitBytes) {
        this.memory = memory;
        this.limitBytes = limitBytes;
    }

    /** Adds bytes to the end; returns false, and adds nothing, if the body would become too large. */
    boolean add(byte[] bytes) {
        if (sizeBytes + bytes.length > limitBytes) {
            return false;
        }
        sizeBytes += bytes.length;
        parts.add(memory.hold(bytes));
        return true;
    }

    /** Hands over the parts, which the receiver releases, and leaves an empty body. */
    List<ByteBuf> take() {
        List<ByteBuf> taken = parts;
        parts = List.of();
        return taken;
    }

    /** Releases the parts that were not taken. */
    void release() {
        take().forEach(ByteBuf::release);
    }
}
