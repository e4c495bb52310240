package io.jayhead.standins.engine;

import java.util.List;

/**
 * Holds the identity, the speed and the limits of an engine stand-in.
 *
 * @param name its name in log lines
 * @param availabilityZone the availability zone that it runs in
 * @param models the names of the models that it serves, or empty for any
 * @param adapters the names of the adapters in its load reports
 * @param checksFencing whether it refuses outdated fencing tokens
 * @param firstTokenMs the time in milliseconds to the first token of an empty prompt
 * @param promptTokenMicros the time in microseconds per prompt token that is not in the prefix cache
 * @param tokenMs the time in milliseconds between tokens
 * @param maxBatch the maximum number of requests that run concurrently
 * @param maxQueue the maximum number of requests that wait for a slot in the batch
 * @param prefixCacheEntries the maximum number of prefixes in the cache, or 0 for no cache
 * @param loadLagMs the minimum age in milliseconds of the load in a report, once a sample of that age exists
 * @param cacheLagMs the delay in milliseconds until a cache event is visible to readers of the event log
 * @param maxRecords the number of requests kept by id; beyond it the oldest ended ones are dropped
 */
public record EngineOptions(
        String name,
        String availabilityZone,
        List<String> models,
        List<String> adapters,
        boolean checksFencing,
        long firstTokenMs,
        long promptTokenMicros,
        long tokenMs,
        int maxBatch,
        int maxQueue,
        int prefixCacheEntries,
        long loadLagMs,
        long cacheLagMs,
        int maxRecords) {

    /** Rejects numbers out of range. */
    public EngineOptions {
        models = List.copyOf(models);
        adapters = List.copyOf(adapters);
        requireNotNegative("first-token-ms", firstTokenMs);
        requireNotNegative("prompt-token-us", promptTokenMicros);
        requireNotNegative("token-ms", tokenMs);
        requireNotNegative("max-queue", maxQueue);
        requireNotNegative("prefix-cache-entries", prefixCacheEntries);
        requireNotNegative("load-lag-ms", loadLagMs);
        requireNotNegative("cache-lag-ms", cacheLagMs);
        if (maxBatch < 1 || maxRecords < 1) {
            throw new IllegalArgumentException("max-batch and max-records must be at least 1");
        }
    }

    /**
     * Tells whether the engine serves a model.
     *
     * @param model the model's name
     * @return whether requests for it are accepted
     */
    public boolean serves(String model) {
        return models.isEmpty() || models.contains(model);
    }

    private static void requireNotNegative(String option, long value) {
        if (value < 0) {
            throw new IllegalArgumentException(option + " must not be negative: " + value);
        }
    }
}
