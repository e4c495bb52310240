package io.jayhead.gateway.wire;

/**
 * Holds the token counts of a generation.
 *
 * @param promptTokens the number of tokens in the prompt
 * @param maxOutputTokens the most tokens that may be generated
 */
public record GenerationSize(int promptTokens, int maxOutputTokens) {

    /**
     * Returns the most tokens that the generation can consume.
     *
     * @return the tokens of prompt and output
     */
    public long maxTokens() {
        return (long) promptTokens + maxOutputTokens;
    }
}
