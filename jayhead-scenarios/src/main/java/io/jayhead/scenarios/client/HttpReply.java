package io.jayhead.scenarios.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds the status and the text of an HTTP response.
 *
 * @param status the HTTP status, or 0 if no response arrived
 * @param body the body, or the exception as text if no response arrived
 */
public record HttpReply(int status, String body) {

    /** Tells whether the status is 2xx. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }

    /** Returns the body as a JSON tree, or a missing node if it is not JSON. */
    public JsonNode json() {
        return Json.read(body);
    }
}
