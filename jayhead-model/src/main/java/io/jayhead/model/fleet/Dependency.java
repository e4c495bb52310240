package io.jayhead.model.fleet;

/**
 * Names something that a service depends on.
 *
 * @param type model or service
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
