package io.jayhead.ctl.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Optional;

/**
 * Describes a request to the operator interface.
 *
 * @param method the HTTP method
 * @param path the path segments below {@code /operator/v1}
 * @param body the JSON body, if any
 */
public record OperatorRequest(String method, List<String> path, Optional<JsonNode> body) {

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    /** Copies the path. */
    public OperatorRequest {
        path = List.copyOf(path);
    }

    /**
     * Returns a GET request.
     *
     * @param path the path segments below {@code /operator/v1}
     * @return the request
     */
    public static OperatorRequest read(String... path) {
        return new OperatorRequest("GET", List.of(path), Optional.empty());
    }

    /**
     * Returns a request that writes the fleet text.
     *
     * @param expectedVersion the version of the fleet text that the new text replaces
     * @param changeId the unique id of this change
     * @param text the new fleet text
     * @return the request
     */
    public static OperatorRequest writeFleet(long expectedVersion, String changeId, String text) {
        JsonNode body = JSON.objectNode()
                .put("expected_version", expectedVersion)
                .put("change_id", changeId)
                .put("text", text);
        return new OperatorRequest("PUT", List.of("fleet"), Optional.of(body));
    }

    /**
     * Returns a request that tops up a budget.
     *
     * @param organisation the organisation
     * @param budget the budget
     * @param id the unique id of the top-up; requests with the same id count once
     * @param tokens the number of tokens paid for
     * @return the request
     */
    public static OperatorRequest topUp(String organisation, String budget, String id, long tokens) {
        JsonNode body = JSON.objectNode().put("id", id).put("tokens", tokens);
        return new OperatorRequest("POST", List.of("budgets", organisation, budget, "topups"), Optional.of(body));
    }
}
