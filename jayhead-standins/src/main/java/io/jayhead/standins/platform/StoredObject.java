package io.jayhead.standins.platform;

/**
 * Holds one object of the store.
 *
 * @param name its name within its kind
 * @param version the revision that wrote it, so that a re-created object never repeats a version
 * @param body its opaque text
 */
public record StoredObject(String name, long version, String body) {}
