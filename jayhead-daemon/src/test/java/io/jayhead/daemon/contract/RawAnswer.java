package io.jayhead.daemon.contract;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * An answer as it came over the wire, with its chunks joined.
 *
 * @param status the HTTP status
 * @param head the status line and the headers
 * @param body the body
 * @param whole whether the body ended as its framing promises
 */
record RawAnswer(int status, String head, String body, boolean whole) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the answer for a golden file as it is. */
    String exact() {
        return head + "\n" + body + (whole ? "" : "[connection closed before the end of the body]") + "\n";
    }

    /** Returns the answer for a golden file, with a random request id and the age of a load report replaced. */
    String golden() {
        String text = exact().replaceAll("\"request_id\":\"[0-9a-f]{64}\"", "\"request_id\":\"<request id>\"");
        String aged = text.replaceAll("report \\d+ ms old", "report <age> ms old");
        return aged.equals(text) ? text : aged.replaceAll("content-length: \\d+", "content-length: <length>");
    }

    /** Returns the body as JSON; of a stream, the data of its last event. */
    JsonNode json() {
        int data = body.startsWith("event:") ? body.lastIndexOf("\ndata: ") + "\ndata: ".length() : 0;
        try {
            return MAPPER.readTree(body.substring(data));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("not JSON: " + body, e);
        }
    }

    /** Returns the error code, or {@code ok}. */
    String code() {
        return json().path("error").path("code").asText("ok");
    }

    /** Returns the verdict from the document or, for the answer of a plain service, from the header. */
    String verdict() {
        JsonNode json = json();
        String inBody =
                json.path("verdict").asText(json.path("error").path("verdict").asText());
        return inBody.isEmpty() ? header("jayhead-verdict") : inBody;
    }

    /** Returns the tokens that the usage of the answer counts. */
    long usedTokens() {
        JsonNode usage = json().path("usage");
        return usage.path("prompt_tokens").asLong()
                + usage.path("output_tokens").asLong();
    }

    /** Counts the tokens that arrived; 0 unless the answer is a stream. */
    long deliveredTokens() {
        return body.lines().filter("event: token"::equals).count();
    }

    /** Returns a header, empty if it is absent. */
    String header(String name) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }
}
