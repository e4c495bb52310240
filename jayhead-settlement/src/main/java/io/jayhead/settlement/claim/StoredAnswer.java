package io.jayhead.settlement.claim;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Holds the answer of a booking service.
 *
 * @param status the HTTP status
 * @param body the whole body, or empty if it is too large to be stored
 */
public record StoredAnswer(int status, Optional<String> body) {

    /** Largest body that is stored; claims share the platform's limits with all other objects. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Returns an answer without the body if that is too large; a part of an answer is never stored.
     *
     * @param status the HTTP status
     * @param body the body
     * @return the answer
     */
    public static StoredAnswer of(int status, String body) {
        boolean fits = body.getBytes(StandardCharsets.UTF_8).length <= MAX_BODY_BYTES;
        return new StoredAnswer(status, fits ? Optional.of(body) : Optional.empty());
    }
}
