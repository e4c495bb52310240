package io.jayhead.model.fleet;

/** Tells where a request carries its idempotency key. */
public sealed interface KeySource permits KeySource.None, KeySource.Header, KeySource.Pointer {

    /** The service declares no idempotency key. */
    enum None implements KeySource {
        /** The only instance; the source has no further data. */
        INSTANCE
    }

    /**
     * The key is the value of a request header.
     *
     * @param name the header name
     */
    record Header(String name) implements KeySource {}

    /**
     * The key is a field of the JSON request body.
     *
     * @param pointer a JSON pointer (RFC 6901)
     */
    record Pointer(String pointer) implements KeySource {}
}
