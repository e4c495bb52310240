package io.jayhead.model.fleet;

import java.util.Optional;

/**
 * Describes a model.
 *
 * @param name the name
 * @param weights the weights that an engine must have loaded
 * @param adapter the adapter that an engine must have loaded, if any
 */
public record ModelSpec(String name, String weights, Optional<String> adapter) {}
