package io.jayhead.daemon.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Holds the content of the platform object {@code fleet/current}: a fleet text with its version.
 *
 * @param version the version, from 1; 0 before the first change
 * @param changeId identifies the change that created this version
 * @param text the fleet text
 */
public record FleetDocument(long version, String changeId, String text) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Returns the document of a fleet that has no configuration yet.
     *
     * @return a document with version 0 and an empty text
     */
    public static FleetDocument empty() {
        return new FleetDocument(0, "", "");
    }

    /**
     * Decodes a document.
     *
     * @param json the body of the platform object
     * @return the document
     * @throws IllegalArgumentException if the body is not valid JSON
     */
    public static FleetDocument decode(String json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            return new FleetDocument(
                    root.path("version").asLong(),
                    root.path("change_id").asText(),
                    root.path("text").asText());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("fleet document is not valid JSON: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Encodes the document.
     *
     * @return the body of the platform object, in JSON
     */
    public String encode() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("version", version);
        root.put("change_id", changeId);
        root.put("text", text);
        return root.toString();
    }
}
