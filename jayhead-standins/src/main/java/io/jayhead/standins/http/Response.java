package io.jayhead.standins.http;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds a complete HTTP response.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param headers additional headers
 * @param body the body
 */
public record Response(int status, String contentType, Map<String, String> headers, String body) {

    /** Copies the headers. */
    public Response {
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a response with a JSON body.
     *
     * @param status the HTTP status
     * @param value the value that becomes the body
     * @return the response
     */
    public static Response json(int status, Object value) {
        return new Response(status, "application/json", Map.of(), Json.write(value));
    }

    /**
     * Creates an error response without a message.
     *
     * @param status the HTTP status
     * @param code the machine-readable error code
     * @return the response
     */
    public static Response error(int status, String code) {
        return json(status, new ErrorBody(code, null));
    }

    /**
     * Returns a copy with a header added or replaced.
     *
     * @param name the name
     * @param value the value
     * @return a response that has the header
     */
    public Response withHeader(String name, String value) {
        Map<String, String> extended = new HashMap<>(headers);
        extended.put(name, value);
        return new Response(status, contentType, extended, body);
    }

    /** Tells whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
