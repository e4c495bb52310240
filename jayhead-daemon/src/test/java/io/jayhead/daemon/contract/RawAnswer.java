package io.jayhead.daemon.contract;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * An HTTP answer as it was received, with its chunks joined.
 *
 * @param status the HTTP status
 * @param head the status line and the headers, each ended by a line feed
 * @param body the body
 * @param complete whether the body is complete according to its Content-Length or chunked encoding
 */
record RawAnswer(int status, String head, String body, boolean complete) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the answer as text for a golden file, unchanged. */
    String exact() {
        return head + "\n" + body + (complete ? "" : "[connection closed before the end of the body]") + "\n";
    }

    /** Returns the answer as text for a golden file, with the request id and the age of load reports replaced. */
    String golden() {
        String text = exact().replaceAll("\"request_id\":\"[0-9a-f]{64}\"", "\"request_id\":\"<request id>\"");
        String aged = text.replaceAll("report \\d+ ms old", "report <age> ms old");
        return aged.equals(text) ? text : aged.replaceAll("content-length: \\d+", "content-length: <length>");
    }

    /** Returns the body as JSON, or the data of the last event if the body is an event stream. */
    JsonNode json() {
        int data = body.startsWith("event:") ? body.lastIndexOf("\ndata: ") + "\ndata: ".length() : 0;
        try {
            return MAPPER.readTree(body.substring(data));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("not JSON: " + body, e);
        }
    }

    /** Returns the error code, or {@code ok} if the answer is no error. */
    String code() {
        return json().path("error").path("code").asText("ok");
    }

    /** Returns the verdict in the body or, for the answer of a plain service, in the header. */
    String verdict() {
        JsonNode json = json();
        String inBody =
                json.path("verdict").asText(json.path("error").path("verdict").asText());
        return inBody.isEmpty() ? header("jayhead-verdict") : inBody;
    }

    /** Returns the sum of prompt and output tokens in the usage of the answer; 0 if it has none. */
    long usedTokens() {
        JsonNode usage = json().path("usage");
        return usage.path("prompt_tokens").asLong()
                + usage.path("output_tokens").asLong();
    }

    /** Returns the number of token events that arrived; 0 if the answer is not a stream. */
    long deliveredTokens() {
        return body.lines().filter("event: token"::equals).count();
    }

    /** Returns the value of a header; empty if it is absent. */
    String header(String name) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }
}
