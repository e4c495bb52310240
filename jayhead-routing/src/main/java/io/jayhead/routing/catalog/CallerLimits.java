package io.jayhead.routing.catalog;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes the bytes of the head of a request
 * @param maxBodyBytes the bytes of a body
 * @param idleTimeoutMs how long a connection without a request stays open
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int idleTimeoutMs) {

    /** Bounds that hold until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 15_000);
}
