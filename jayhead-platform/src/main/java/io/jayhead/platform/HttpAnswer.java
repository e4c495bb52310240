package io.jayhead.platform;

import java.io.IOException;
import okhttp3.Response;
import okhttp3.ResponseBody;

/**
 * Holds the outcome of one HTTP call.
 *
 * @param status the HTTP status; 0 if there was no answer
 * @param version the version in the ETag; -1 if there was none
 * @param retryAfterMs the pause that the platform asked for; 0 if it named none
 * @param body the body; empty if it did not arrive completely
 * @param failure why the answer is missing or incomplete; empty if it is complete
 * @param sent whether sending of the request had begun
 */
record HttpAnswer(int status, long version, long retryAfterMs, String body, String failure, boolean sent) {

    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final long MS_PER_SECOND = 1_000;

    static HttpAnswer failed(String failure, boolean sent) {
        return new HttpAnswer(0, -1, 0, "", failure, sent);
    }

    /** Reads the whole answer; if the connection breaks within the body, status and version are kept. */
    static HttpAnswer of(Response response) {
        long version = parse(response.header("ETag", "").replace("\"", ""), -1);
        long retryAfterMs = MS_PER_SECOND * parse(response.header("Retry-After", ""), 0);
        String body = "";
        String failure = "";
        try (ResponseBody content = response.body()) {
            body = BoundedBody.text(content, BoundedBody.MAX_ANSWER_BYTES);
        } catch (IOException e) {
            failure = "answer cut off: " + e;
        }
        return new HttpAnswer(response.code(), version, retryAfterMs, body, failure, true);
    }

    boolean successful() {
        return status >= 200 && status < 300;
    }

    boolean complete() {
        return status != 0 && failure.isEmpty();
    }

    boolean countsAsFailure() {
        return !complete() || status == STATUS_TOO_MANY || status >= STATUS_SERVER_ERROR;
    }

    String describe() {
        return failure.isEmpty() ? "status " + status : failure;
    }

    private static long parse(String text, long defaultValue) {
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
