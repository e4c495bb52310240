package io.jayhead.gateway.wire;

/**
 * The numbers of tokens of a generation.
 *
 * @param promptTokens the tokens of the prompt
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
