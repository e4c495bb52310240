package io.jayhead.model.fleet;

/** Tells where a request carries its idempotency key. */
public sealed interface IdempotencyKeySource
        permits IdempotencyKeySource.None, IdempotencyKeySource.Header, IdempotencyKeySource.Pointer {

    /** The service declares no idempotency key. */
    enum None implements IdempotencyKeySource {
        /** The only instance; the source has no further data. */
        INSTANCE
    }

    /**
     * The key is the value of a request header.
     *
     * @param name the header name
     */
    record Header(String name) implements IdempotencyKeySource {}

    /**
     * The key is a field of the JSON request body.
     *
     * @param pointer a JSON pointer (RFC 6901)
     */
    record Pointer(String pointer) implements IdempotencyKeySource {}
}
