package io.jayhead.platform;

/**
 * Holds an object as read from the platform.
 *
 * @param name the name within its kind
 * @param version the version that a conditional update must state as the expected one
 * @param body the content
 */
public record StoredObject(String name, long version, String body) {}
