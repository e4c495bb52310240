package io.jayhead.standins.platform;

/** Limits calls per second with a token bucket that holds one second's worth. */
final class RateLimit {

    private static final double MS_PER_SECOND = 1000.0;

    private final int callsPerSecond;
    private double available;
    private long refilledAtMs;

    RateLimit(int callsPerSecond, long nowMs) {
        this.callsPerSecond = callsPerSecond;
        this.available = callsPerSecond;
        this.refilledAtMs = nowMs;
    }

    boolean tryAcquire(long nowMs) {
        double refill = (nowMs - refilledAtMs) * callsPerSecond / MS_PER_SECOND;
        available = Math.min(callsPerSecond, available + refill);
        refilledAtMs = nowMs;
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }
}
