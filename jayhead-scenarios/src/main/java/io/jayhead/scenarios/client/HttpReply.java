package io.jayhead.scenarios.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds a short HTTP answer.
 *
 * @param status the HTTP status, or 0 if no answer arrived
 * @param body the body, or how the connection failed
 */
public record HttpReply(int status, String body) {

    /** Tells whether the status is a success. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }

    /** Returns the body as JSON, a missing node if it is none. */
    public JsonNode json() {
        return Json.read(body);
    }
}
