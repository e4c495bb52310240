package io.jayhead.gateway.memory;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/** A buffer of fixed size whose bytes are charged to a connection until it is released. */
final class ChargedBuffer extends UnpooledHeapByteBuf {

    /** The buffer object and its place in the queue of a connection. */
    private static final int OBJECT_BYTES = 128;

    private final ConnectionMemory memory;

    ChargedBuffer(ConnectionMemory memory, byte[] bytes) {
        super(UnpooledByteBufAllocator.DEFAULT, bytes, bytes.length);
        this.memory = memory;
        memory.charge(bytes.length + OBJECT_BYTES);
    }

    @Override
    protected void freeArray(byte[] array) {
        memory.release(array.length + OBJECT_BYTES);
    }
}
