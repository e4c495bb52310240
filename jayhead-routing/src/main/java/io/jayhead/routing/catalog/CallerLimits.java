package io.jayhead.routing.catalog;

/**
 * Limits the size of requests, and the time that caller connections take for them.
 *
 * @param maxHeaderBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutMs the time within which the head of a request arrives after its first byte
 * @param idleTimeoutMs the time after which a connection without a request is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {

    /** The limits that apply until a configuration has been read. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 15_000, 15_000);
}
