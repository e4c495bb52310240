package io.jayhead.gateway.wire;

/**
 * A part of a prompt.
 *
 * @param id the id of the part; requests with the same part name the same id
 * @param tokens the number of tokens of the part
 */
public record PromptPart(String id, int tokens) {}
