package io.jayhead.routing.catalog;

/**
 * Limits the size of requests and the idle time of caller connections.
 *
 * @param maxHeaderBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param idleTimeoutMs the time after which a connection without a request is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int idleTimeoutMs) {

    /** The limits that apply until a configuration has been read. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 15_000);
}
