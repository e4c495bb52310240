package io.jayhead.daemon.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads the error documents of upstreams. */
final class UpstreamErrors {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private UpstreamErrors() {}

    /** Returns the error code in the body of an answer; empty if the body is not JSON or has no code. */
    static String code(String body) {
        try {
            return MAPPER.readTree(body).path("code").asText("");
        } catch (JsonProcessingException e) {
            return "";
        }
    }

    /** Tells whether an answer is one of the documented refusals, which prove that the request did not run. */
    static boolean isDefiniteRefusal(int status, String code) {
        return status == CONFLICT && "fenced".equals(code)
                || status == UNAVAILABLE && ("overloaded".equals(code) || "draining".equals(code));
    }
}
