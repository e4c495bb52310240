package io.jayhead.gateway.control;

/**
 * A value with the platform's revision.
 *
 * @param value the value; null if a watch saw no change
 * @param revision the revision to watch from
 * @param <T> the type of the value
 */
public record Versioned<T>(T value, long revision) {}
