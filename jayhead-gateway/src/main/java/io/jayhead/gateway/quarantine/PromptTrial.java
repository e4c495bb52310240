package io.jayhead.gateway.quarantine;

/**
 * The permission to send one request although a part of its prompt is blocked.
 *
 * <p>It is on record in the platform before it is given, so that all routers together send only a few such requests.
 *
 * @param part the blocked part
 * @param id the identity of the trial
 */
public record PromptTrial(String part, String id) {}
