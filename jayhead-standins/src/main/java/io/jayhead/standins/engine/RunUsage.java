package io.jayhead.standins.engine;

/**
 * Holds the token usage of a request.
 *
 * @param id the request id
 * @param promptTokens the prompt tokens processed, or 0 if the request never started
 * @param outputTokens the output tokens produced
 */
public record RunUsage(String id, int promptTokens, int outputTokens) {}
