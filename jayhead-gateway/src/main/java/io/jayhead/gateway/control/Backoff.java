package io.jayhead.gateway.control;

/** Delays between attempts that fail one after the other; used by one thread. */
final class Backoff {

    private static final long FIRST_MS = 100;
    /** Bounds the time that a change goes unnoticed after the platform has returned. */
    private static final long MAX_MS = 800;

    private long nextMs = FIRST_MS;

    long next() {
        long delayMs = nextMs;
        nextMs = Math.min(MAX_MS, nextMs * 2);
        return delayMs;
    }

    void reset() {
        nextMs = FIRST_MS;
    }
}
