package io.jayhead.edge;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Holds a request as it was received from a caller.
 *
 * @param method the HTTP method
 * @param service the name of the service in the path
 * @param subPath the part of the path after the service as it was sent, still percent-encoded, without a leading slash;
 *     may be empty
 * @param headers the headers, with names in lower case
 * @param body the body; empty for a GET
 */
public record CallerRequest(String method, String service, String subPath, Map<String, String> headers, byte[] body) {

    private static final String BEARER_PREFIX = "bearer ";

    /** Copies the headers with their names in lower case. */
    public CallerRequest {
        headers = headers.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(
                        entry -> entry.getKey().toLowerCase(Locale.ROOT),
                        Map.Entry::getValue,
                        (first, second) -> first));
    }

    /**
     * Returns a header.
     *
     * @param name the name, in upper or lower case
     * @return the value, or empty if the header is absent
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    /**
     * Returns the bearer credential of the {@code Authorization} header.
     *
     * @return the credential without its scheme, or empty if the header is absent or has another scheme
     */
    public Optional<String> bearerCredential() {
        return header("authorization")
                .filter(value -> value.toLowerCase(Locale.ROOT).startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()).trim());
    }
}
