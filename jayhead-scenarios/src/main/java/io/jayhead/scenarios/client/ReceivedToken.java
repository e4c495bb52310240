package io.jayhead.scenarios.client;

/**
 * Holds a token that a caller received.
 *
 * @param index the index in the event, or -1 if the event has none
 * @param text the text of the token
 */
public record ReceivedToken(int index, String text) {}
