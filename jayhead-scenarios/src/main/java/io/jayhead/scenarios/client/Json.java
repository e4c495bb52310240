package io.jayhead.scenarios.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Parses JSON texts and creates JSON objects. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Parses a JSON text.
     *
     * @param text the text
     * @return the JSON tree, or a missing node if the text is not JSON
     */
    public static JsonNode read(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return missing();
        }
    }

    /** Returns a missing node. */
    public static JsonNode missing() {
        return MAPPER.missingNode();
    }

    /** Returns an object without fields. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }
}
