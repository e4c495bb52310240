package io.jayhead.standins.platform;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Records a write or a deletion of an object.
 *
 * @param kind the object's kind
 * @param name the object's name
 * @param version the global revision that the change created
 * @param deleted whether the object was deleted
 */
public record Change(@JsonIgnore String kind, String name, long version, boolean deleted) {}
