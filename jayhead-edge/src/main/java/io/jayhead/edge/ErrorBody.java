package io.jayhead.edge;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.Verdict;

/** Builds the JSON error document that callers receive. */
public final class ErrorBody {

    private ErrorBody() {}

    /**
     * Returns the error document without a status path.
     *
     * @param code the error code
     * @param verdict whether the request may have run
     * @param message the human-readable message
     * @param requestId the request identifier; empty if there is none yet
     * @return JSON on one line
     */
    public static String of(ErrorCode code, Verdict verdict, String message, String requestId) {
        return of(code, verdict, message, requestId, "");
    }

    /**
     * Returns the error document with the path at which the caller can read the outcome of the request.
     *
     * @param code the error code
     * @param verdict whether the request may have run
     * @param message the human-readable message
     * @param requestId the request identifier; empty if there is none yet
     * @param statusPath the path of the outcome; empty if there is none
     * @return JSON on one line
     */
    public static String of(ErrorCode code, Verdict verdict, String message, String requestId, String statusPath) {
        ObjectNode error = JsonNodeFactory.instance.objectNode();
        error.put("code", code.code());
        error.put("verdict", verdict.code());
        error.put("message", message);
        if (!requestId.isEmpty()) {
            error.put("request_id", requestId);
        }
        if (!statusPath.isEmpty()) {
            error.put("status_path", statusPath);
        }
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.set("error", error);
        return root.toString();
    }
}
