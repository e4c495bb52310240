package io.jayhead.gateway.log;

import java.util.Locale;

/** The kinds of log lines, each with its own rate limit. */
public enum LogKind {
    /** Start, stop and reload of the process. */
    PROCESS(50),
    /** A dependency was lost or regained. */
    DEPENDENCY(50),
    /** The configuration or the registry changed. */
    STATE(100),
    /** Tokens were taken from or returned to a budget. */
    BUDGET(50),
    /** A request was answered by an upstream. */
    SERVED(40),
    /** A request was refused or failed. */
    FAILED(150),
    /** A request waits, or was turned away, because its service has no room. */
    ADMISSION(50),
    /** A connection was given up for its memory or descriptor. */
    SHED(20),
    /** An attempt was not sent, was rejected, failed, or got no complete answer. */
    ATTEMPT(100);

    private final int maxPerSecond;

    LogKind(int maxPerSecond) {
        this.maxPerSecond = maxPerSecond;
    }

    /**
     * Returns the rate limit.
     *
     * @return the most lines of this kind per second
     */
    public int maxPerSecond() {
        return maxPerSecond;
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
