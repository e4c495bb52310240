package io.jayhead.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a request for billing and deduplication: a SHA-256 digest in lower-case hexadecimal.
 *
 * @param value 64 hexadecimal digits
 */
public record RequestKey(String value) implements Comparable<RequestKey> {

    private static final int DIGEST_HEX_DIGITS = 64;

    /** Checks the number of digits. */
    public RequestKey {
        if (value == null || value.length() != DIGEST_HEX_DIGITS) {
            throw new IllegalArgumentException("request key must have 64 hexadecimal digits: " + value);
        }
    }

    /**
     * Derives the key from the idempotency key that a caller sent.
     *
     * @param organisation the organisation of the caller
     * @param service the service called
     * @param idempotencyKey the idempotency key, or a random identifier if the service declares none
     * @return the request key, which differs between organisations and services for the same idempotency key
     */
    public static RequestKey of(OrganisationName organisation, ServiceName service, String idempotencyKey) {
        String text = organisation.value().length() + ":" + organisation.value()
                + service.value().length() + ":" + service.value() + idempotencyKey;
        return new RequestKey(sha256(text));
    }

    /**
     * Returns the partition of the charge log that this key belongs to.
     *
     * @param partitions the number of partitions, at least 1
     * @return a number from 0 to {@code partitions - 1}
     */
    public int partition(int partitions) {
        return Math.floorMod((int) Long.parseLong(value.substring(0, 8), 16), partitions);
    }

    /**
     * Returns the SHA-256 digest of a text in lower-case hexadecimal.
     *
     * @param text the text, encoded as UTF-8
     * @return 64 hexadecimal digits
     */
    public static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing, although every Java platform must provide it", e);
        }
    }

    @Override
    public int compareTo(RequestKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
