package io.jayhead.routing;

/**
 * Describes a change of an engine's prefix cache.
 *
 * @param sequence the position in the engine's sequence of events
 * @param operation whether the prefix was stored or evicted
 * @param prefix the digest of the prefix in hexadecimal
 */
public record CacheEvent(long sequence, Operation operation, String prefix) {

    /** Distinguishes additions to the cache from removals. */
    public enum Operation {
        /** The prefix was stored. */
        STORED,
        /** The prefix was evicted. */
        EVICTED
    }
}
