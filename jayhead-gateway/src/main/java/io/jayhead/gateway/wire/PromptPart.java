package io.jayhead.gateway.wire;

/**
 * One part of a prompt, in the order of the prompt.
 *
 * @param id the identity; requests that share a part name the same one
 * @param tokens the tokens of the part
 */
public record PromptPart(String id, int tokens) {}
