package io.jayhead.platform;

/**
 * Reports that an object was written or deleted.
 *
 * @param name the name within its kind
 * @param version the version after the change
 * @param deleted whether the object no longer exists
 */
public record ObjectChange(String name, long version, boolean deleted) {}
