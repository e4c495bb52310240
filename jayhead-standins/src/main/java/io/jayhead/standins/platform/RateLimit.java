package io.jayhead.standins.platform;

/** Limits the rate of calls with a token bucket whose capacity is the calls of one second. Starts full. */
final class RateLimit {

    private static final double MS_PER_SECOND = 1000.0;

    private final int callsPerSecond;
    private double availableCalls;
    private long refilledAtMs;

    RateLimit(int callsPerSecond, long nowMs) {
        this.callsPerSecond = callsPerSecond;
        this.availableCalls = callsPerSecond;
        this.refilledAtMs = nowMs;
    }

    boolean tryAcquire(long nowMs) {
        double refill = (nowMs - refilledAtMs) * callsPerSecond / MS_PER_SECOND;
        availableCalls = Math.min(callsPerSecond, availableCalls + refill);
        refilledAtMs = nowMs;
        if (availableCalls < 1) {
            return false;
        }
        availableCalls -= 1;
        return true;
    }
}
