package io.jayhead.gateway.control;

/** Doubles the delay between consecutive failed attempts up to a maximum; used by one thread. */
final class Backoff {

    static final long FIRST_MS = 100;
    /** Limits the time for which changes go unnoticed after the platform has recovered. */
    static final long MAX_MS = 800;

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
