package io.jayhead.edge;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.model.fleet.IdempotencyKeySource;
import java.io.IOException;
import java.util.Optional;

/** Extracts idempotency keys from requests. */
public final class IdempotencyKeys {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private IdempotencyKeys() {}

    /**
     * Extracts the idempotency key of a request.
     *
     * @param source where requests of the service carry the key
     * @param request the request
     * @return the key, or empty if the service declares none, if the key is absent, blank or neither text nor an
     *     integer, or if the body is not JSON
     */
    public static Optional<String> find(IdempotencyKeySource source, CallerRequest request) {
        if (source instanceof IdempotencyKeySource.Header header) {
            return request.header(header.name()).filter(value -> !value.isBlank());
        }
        if (source instanceof IdempotencyKeySource.Pointer pointer) {
            return findInBody(pointer.pointer(), request.body());
        }
        return Optional.empty();
    }

    private static Optional<String> findInBody(String pointer, byte[] body) {
        try {
            JsonNode root = MAPPER.readTree(body);
            if (root == null) {
                return Optional.empty();
            }
            JsonNode value = root.at(JsonPointer.compile(pointer));
            boolean isTextOrInteger = value.isTextual() || value.isIntegralNumber();
            return isTextOrInteger ? Optional.of(value.asText()).filter(text -> !text.isBlank()) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
