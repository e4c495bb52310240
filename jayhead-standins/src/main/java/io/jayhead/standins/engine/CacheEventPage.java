package io.jayhead.standins.engine;

import java.util.List;

/**
 * Answers a reader of cache events.
 *
 * @param next the value of {@code since} for the next call
 * @param gap whether events between {@code since} and {@code next} are missing
 * @param events the events that are not missing
 */
public record CacheEventPage(long next, boolean gap, List<CacheEvent> events) {}
