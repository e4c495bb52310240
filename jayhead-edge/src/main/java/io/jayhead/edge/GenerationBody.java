package io.jayhead.edge;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.model.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Holds the parsed body of a generation request.
 *
 * @param prompt the prompt, not empty
 * @param maxTokens the output cap that the caller asks for; 0 if the cap of the service applies
 * @param stream whether the caller wants a stream of events
 */
public record GenerationBody(String prompt, int maxTokens, boolean stream) {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /**
     * Parses the body.
     *
     * @param body the bytes, JSON in UTF-8
     * @return the parsed body, or a message that names the invalid field and what was expected
     */
    public static Either<String, GenerationBody> parse(byte[] body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return Either.left("body: expected a JSON object: " + e.getOriginalMessage());
        } catch (IOException e) {
            return Either.left("body: expected a JSON object: " + e.getMessage());
        }
        if (root == null || !root.isObject()) {
            return Either.left("body: expected a JSON object");
        }
        return parse(root);
    }

    /**
     * Returns an upper bound of the number of prompt tokens: with any tokenizer, a token covers at least one byte.
     *
     * @return the length of the prompt in bytes of UTF-8
     */
    public long maxPromptTokens() {
        return prompt.getBytes(StandardCharsets.UTF_8).length;
    }

    private static Either<String, GenerationBody> parse(JsonNode root) {
        JsonNode prompt = root.path("prompt");
        if (!prompt.isTextual() || prompt.textValue().isEmpty()) {
            return Either.left("prompt: expected a text that is not empty");
        }
        JsonNode maxTokens = root.path("max_tokens");
        boolean validCap = maxTokens.isMissingNode()
                || maxTokens.isIntegralNumber() && maxTokens.canConvertToInt() && maxTokens.intValue() > 0;
        if (!validCap) {
            return Either.left("max_tokens: expected a whole number above 0");
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            return Either.left("stream: expected true or false");
        }
        return Either.right(new GenerationBody(prompt.textValue(), maxTokens.asInt(0), stream.asBoolean(false)));
    }
}
