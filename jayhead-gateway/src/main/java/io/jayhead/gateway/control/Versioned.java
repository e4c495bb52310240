package io.jayhead.gateway.control;

/**
 * A value read from the platform.
 *
 * @param value the value; null if a watch saw no change
 * @param revision the revision from which to watch
 * @param <T> the type of the value
 */
public record Versioned<T>(T value, long revision) {}
