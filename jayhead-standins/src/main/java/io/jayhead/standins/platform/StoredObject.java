package io.jayhead.standins.platform;

/**
 * Holds an object of the store.
 *
 * @param name its name within its kind
 * @param version the global revision of its last write, so that a re-created object never reuses a version
 * @param body its content, which the store does not interpret
 */
public record StoredObject(String name, long version, String body) {}
