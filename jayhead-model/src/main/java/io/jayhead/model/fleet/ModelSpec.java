package io.jayhead.model.fleet;

import java.util.Optional;

/**
 * Describes a model, which an engine can serve if it has loaded the weights and the adapter.
 *
 * @param name the name of the model
 * @param weights the name of the weights
 * @param adapter the name of the adapter, or empty if the model has none
 */
public record ModelSpec(String name, String weights, Optional<String> adapter) {}
