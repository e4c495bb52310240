package io.jayhead.routing;

/**
 * Describes one change of an engine's prefix cache.
 *
 * @param sequence the position in the engine's sequence of events
 * @param operation what happened
 * @param prefix the digest of the prefix in hexadecimal
 */
public record CacheEvent(long sequence, Operation operation, String prefix) {

    /** Distinguishes entries that appear from entries that disappear. */
    public enum Operation {
        /** The prefix was stored. */
        STORED,
        /** The prefix was evicted. */
        EVICTED
    }
}
