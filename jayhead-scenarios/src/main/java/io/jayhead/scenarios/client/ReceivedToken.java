package io.jayhead.scenarios.client;

/**
 * Holds one token of an answer.
 *
 * @param index its index as sent
 * @param text its text
 */
public record ReceivedToken(int index, String text) {}
