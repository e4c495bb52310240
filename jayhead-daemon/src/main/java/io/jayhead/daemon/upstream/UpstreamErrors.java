package io.jayhead.daemon.upstream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Reads the error documents of upstreams. */
final class UpstreamErrors {

    /** Keeps no names of fields, which are the choice of the upstream. */
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    private static final String CODE_FIELD = "code";
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private UpstreamErrors() {}

    /**
     * Returns the error code in the body of an answer; empty if the body is no whole JSON object or has no code. The
     * answer may be large, so it is not read into a tree.
     */
    static String code(String body) {
        String code = "";
        try (JsonParser parser = FACTORY.createParser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return "";
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                boolean isText = parser.nextToken() == JsonToken.VALUE_STRING;
                if (isText && name.equals(CODE_FIELD)) {
                    code = parser.getText();
                }
                parser.skipChildren();
            }
            return code;
        } catch (IOException unreadable) {
            return "";
        }
    }

    /** Tells whether an answer is one of the documented refusals, which prove that the request did not run. */
    static boolean isDefiniteRefusal(int status, String code) {
        return status == CONFLICT && "fenced".equals(code)
                || status == UNAVAILABLE && ("overloaded".equals(code) || "draining".equals(code));
    }
}
