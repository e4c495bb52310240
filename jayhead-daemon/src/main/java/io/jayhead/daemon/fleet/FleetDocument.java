package io.jayhead.daemon.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The content of the platform object {@code fleet/current}.
 *
 * @param version the version, from 1; 0 if there is none yet
 * @param changeId identifies the change that made this version
 * @param text the fleet text
 */
public record FleetDocument(long version, String changeId, String text) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Returns the document of a fleet without configuration.
     *
     * @return version 0
     */
    public static FleetDocument empty() {
        return new FleetDocument(0, "", "");
    }

    /**
     * Reads a document.
     *
     * @param json the content of the object
     * @return the document
     * @throws IllegalArgumentException if the content is not a fleet document
     */
    public static FleetDocument decode(String json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            return new FleetDocument(
                    root.path("version").asLong(),
                    root.path("change_id").asText(),
                    root.path("text").asText());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a fleet document: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Writes the document.
     *
     * @return the content of the object
     */
    public String encode() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("version", version);
        root.put("change_id", changeId);
        root.put("text", text);
        return root.toString();
    }
}
