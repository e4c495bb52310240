package io.jayhead.platform;

import java.util.Optional;

/** Gives the outcome of reading one object. */
public sealed interface ReadResult permits ReadResult.Found, ReadResult.Missing, ReadResult.Unavailable {

    /**
     * Returns the body if the object was found.
     *
     * @return the body, or empty
     */
    default Optional<String> body() {
        return this instanceof Found found ? Optional.of(found.object().body()) : Optional.empty();
    }

    /**
     * The object exists.
     *
     * @param object the object
     */
    record Found(StoredObject object) implements ReadResult {}

    /** The platform answered that there is no such object. */
    record Missing() implements ReadResult {}

    /**
     * The platform gave no usable answer; nothing is known about the object.
     *
     * @param reason the cause, for logs
     */
    record Unavailable(String reason) implements ReadResult {}
}
