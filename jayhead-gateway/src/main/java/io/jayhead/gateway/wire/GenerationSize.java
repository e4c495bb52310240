package io.jayhead.gateway.wire;

/**
 * The tokens of a generation.
 *
 * @param promptTokens the tokens of the prompt
 * @param maxOutputTokens the most tokens that are generated
 */
public record GenerationSize(int promptTokens, int maxOutputTokens) {

    /**
     * Returns the most that the generation can consume.
     *
     * @return the tokens
     */
    public long maxTokens() {
        return (long) promptTokens + maxOutputTokens;
    }
}
