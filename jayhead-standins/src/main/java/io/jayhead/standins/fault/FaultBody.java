package io.jayhead.standins.fault;

/**
 * Holds the body of {@code POST /faults} as sent.
 *
 * @param fault the name of the fault
 * @param durationMs its duration in milliseconds, or 0 to last until it is cleared
 * @param delayMs the delay in milliseconds of {@code slow} and {@code die}; other faults ignore it
 * @param count the number of requests or events that it affects, or 0 for no limit; for {@code drop_reply}, 0 means 1
 * @param path the prefix of the request paths that it affects, or null for all
 */
public record FaultBody(String fault, long durationMs, long delayMs, int count, String path) {}
