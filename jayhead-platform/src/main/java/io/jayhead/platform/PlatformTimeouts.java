package io.jayhead.platform;

/**
 * Holds the timeouts of calls to the platform.
 *
 * @param connectMs the longest time to open a connection
 * @param callMs the longest time of a whole call other than a watch
 * @param watchMarginMs how much longer than its wait a watch may take
 */
public record PlatformTimeouts(long connectMs, long callMs, long watchMarginMs) {

    /** Checks the timeouts; OkHttp would take 0 as no timeout. */
    public PlatformTimeouts {
        if (connectMs < 1 || callMs < 1 || watchMarginMs < 1) {
            throw new IllegalArgumentException("platform timeouts must be at least 1 ms");
        }
    }

    /**
     * Returns the timeouts for normal operation, where the platform answers in milliseconds.
     *
     * @return 500 ms to connect, 1 s for a call, 1 s margin for a watch
     */
    public static PlatformTimeouts standard() {
        return new PlatformTimeouts(500, 1_000, 1_000);
    }
}
