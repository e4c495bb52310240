package io.jayhead.standins.fault;

/**
 * Holds the body of {@code POST /faults} as sent.
 *
 * @param fault the name of the fault
 * @param durationMs how long it lasts, or 0 for until cleared
 * @param delayMs the delay of {@code slow} and {@code die}
 * @param count how many requests or events it affects, or 0 for no limit
 * @param path the prefix of the paths it affects, or null for all
 */
public record FaultBody(String fault, long durationMs, long delayMs, int count, String path) {}
