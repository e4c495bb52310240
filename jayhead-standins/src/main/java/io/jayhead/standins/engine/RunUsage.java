package io.jayhead.standins.engine;

/**
 * Holds the tokens that a request has used.
 *
 * @param id the request id
 * @param promptTokens the prompt tokens read, 0 if the request was never started
 * @param outputTokens the output tokens produced
 */
public record RunUsage(String id, int promptTokens, int outputTokens) {}
