package io.jayhead.standins.engine;

import java.util.List;

/**
 * Holds the response to a reader of cache events.
 *
 * @param next the value of {@code since} for the next call
 * @param gap whether events between {@code since} and {@code next} are missing, or {@code since} is beyond the
 *     last event
 * @param events the available events after {@code since}
 */
public record CacheEventPage(long next, boolean gap, List<CacheEvent> events) {}
