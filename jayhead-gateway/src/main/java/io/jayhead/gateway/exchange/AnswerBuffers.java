package io.jayhead.gateway.exchange;

/**
 * Limits the memory that all answers together occupy while they are collected; used by the traffic thread.
 *
 * <p>A few upstreams that send bytes without end would otherwise use up the memory of the process.
 */
public final class AnswerBuffers {

    private static final double HEAP_SHARE = 0.2;

    private final long limitBytes;
    private long usedBytes;

    /** Creates buffers that share a part of the largest heap of this process. */
    public AnswerBuffers() {
        this((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    }

    AnswerBuffers(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Reserves memory.
     *
     * @param bytes the bytes to reserve
     * @return false if the limit leaves no room for them; nothing is reserved then
     */
    boolean reserve(int bytes) {
        if (usedBytes + bytes > limitBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        usedBytes -= bytes;
    }
}
