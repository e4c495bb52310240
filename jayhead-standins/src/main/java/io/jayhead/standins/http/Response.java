package io.jayhead.standins.http;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds one complete answer.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param headers further headers
 * @param body the body
 */
public record Response(int status, String contentType, Map<String, String> headers, String body) {

    /** Copies the headers. */
    public Response {
        headers = Map.copyOf(headers);
    }

    /**
     * Creates an answer with a JSON body.
     *
     * @param status the HTTP status
     * @param value the value to write
     * @return the answer
     */
    public static Response json(int status, Object value) {
        return new Response(status, "application/json", Map.of(), Json.write(value));
    }

    /**
     * Creates a refusal.
     *
     * @param status the HTTP status
     * @param code the machine-readable reason
     * @return the answer
     */
    public static Response error(int status, String code) {
        return json(status, new ErrorBody(code, null));
    }

    /**
     * Adds a header.
     *
     * @param name the name
     * @param value the value
     * @return an answer that has the header
     */
    public Response withHeader(String name, String value) {
        Map<String, String> extended = new HashMap<>(headers);
        extended.put(name, value);
        return new Response(status, contentType, extended, body);
    }

    /** Tells whether the request succeeded. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
