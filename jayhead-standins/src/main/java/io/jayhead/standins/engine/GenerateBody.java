package io.jayhead.standins.engine;

/**
 * Holds the body of {@code POST /v1/generate}.
 *
 * @param model the model's name
 * @param prompt the prompt
 * @param maxTokens the maximum number of output tokens
 */
public record GenerateBody(String model, String prompt, int maxTokens) {

    private static final int MAX_OUTPUT_TOKENS = 1_000_000;

    /** Rejects missing fields and a number of tokens out of range. */
    public GenerateBody {
        if (model == null || prompt == null || maxTokens < 1 || maxTokens > MAX_OUTPUT_TOKENS) {
            throw new IllegalArgumentException("model, prompt and max_tokens from 1 to 1000000 are required");
        }
    }
}
