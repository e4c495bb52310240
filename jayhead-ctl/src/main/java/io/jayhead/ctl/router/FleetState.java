package io.jayhead.ctl.router;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Holds the fleet text that a router reports, with its version.
 *
 * @param version the version; 0 if the fleet has no text yet
 * @param changeId the id of the change that wrote this version; empty if there is none
 * @param text the text; empty if there is none
 */
public record FleetState(long version, String changeId, String text) {

    private static final int NOT_FOUND = 404;

    /**
     * Extracts the state from the reply of a router.
     *
     * @param reply the reply
     * @return the state, or empty if the reply holds none
     */
    public static Optional<FleetState> of(Reply reply) {
        if (!(reply instanceof Reply.Answer answer)) {
            return Optional.empty();
        }
        if (answer.status() == NOT_FOUND && answer.errorCode().equals("not_found")) {
            return Optional.of(new FleetState(0, "", ""));
        }
        JsonNode body = answer.body();
        if (!answer.isSuccess() || !body.path("version").isIntegralNumber()) {
            return Optional.empty();
        }
        return Optional.of(new FleetState(
                body.path("version").asLong(),
                body.path("change_id").asText(""),
                body.path("text").asText("")));
    }
}
