package io.jayhead.model.fleet;

/** Says which field of a request is its idempotency key. */
public sealed interface KeySource permits KeySource.None, KeySource.Header, KeySource.Pointer {

    /** The service declares no idempotency key. */
    enum None implements KeySource {
        /** The only instance. */
        INSTANCE
    }

    /**
     * The key is a request header.
     *
     * @param name the header name
     */
    record Header(String name) implements KeySource {}

    /**
     * The key is a field of the JSON body.
     *
     * @param pointer a JSON pointer (RFC 6901)
     */
    record Pointer(String pointer) implements KeySource {}
}
