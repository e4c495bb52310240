package io.jayhead.ctl.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * Holds one structured log line of a router.
 *
 * @param source the last word before the JSON object, or the name of the file if there is none; identifies the router.
 *     Earlier words are left out, because numbers such as times differ from line to line.
 * @param text the whole line, without white space around it
 * @param fields the JSON object of the line
 */
record LogLine(String source, String text, JsonNode fields) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Parses a line.
     *
     * @param file the name of the file that contains the line
     * @param text the line, with or without a prefix before its JSON object
     * @return the line, or empty if it contains no JSON object
     */
    static Optional<LogLine> parse(String file, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode fields = JSON.readTree(text.substring(start));
            String prefix = text.substring(0, start).strip();
            String source = prefix.substring(prefix.lastIndexOf(' ') + 1);
            return fields.isObject()
                    ? Optional.of(new LogLine(source.isEmpty() ? file : source, text.strip(), fields))
                    : Optional.empty();
        } catch (JsonProcessingException notJson) {
            return Optional.empty();
        }
    }

    String field(String name) {
        return fields.path(name).asText("");
    }

    boolean isAbout(String requestId) {
        return field("request_id").equals(requestId);
    }
}
