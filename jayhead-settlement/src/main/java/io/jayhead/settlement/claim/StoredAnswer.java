package io.jayhead.settlement.claim;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Holds the answer of a booking service as it is stored in the claim.
 *
 * @param status the HTTP status of the answer
 * @param body the whole body, or empty if it is too large to be stored
 */
public record StoredAnswer(int status, Optional<String> body) {

    /** Maximum size of a stored body; claims share the limits of the platform with all other objects. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Returns an answer, without its body if that is too large. A body is stored whole or not at all.
     *
     * @param status the HTTP status
     * @param body the whole body
     * @return the answer
     */
    public static StoredAnswer of(int status, String body) {
        boolean fits = body.getBytes(StandardCharsets.UTF_8).length <= MAX_BODY_BYTES;
        return new StoredAnswer(status, fits ? Optional.of(body) : Optional.empty());
    }
}
