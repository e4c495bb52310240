package io.jayhead.model.fleet;

/**
 * Names a model or service that another service depends on.
 *
 * @param type whether the dependency is a model or a service
 * @param name the name of the model or service
 */
public record Dependency(Type type, String name) {

    /** Distinguishes dependencies on models from those on services. */
    public enum Type {
        /** A model with its weights and adapter. */
        MODEL,
        /** Another service. */
        SERVICE
    }
}
