package io.jayhead.standins.engine;

import java.util.List;

/**
 * Holds the identity and the speed of an engine stand-in.
 *
 * @param name its name in log lines
 * @param zone its availability zone
 * @param models the models it serves, empty for any
 * @param adapters the adapters it reports
 * @param checksFencing whether it refuses old fencing tokens
 * @param firstTokenMs the time to the first token of an empty prompt
 * @param promptTokenMicros the time per prompt token that is not in the prefix cache
 * @param tokenMs the time between tokens
 * @param maxBatch how many streams run at once
 * @param maxQueue how many requests may wait for a place in the batch
 * @param prefixCacheEntries how many prefixes the cache holds
 * @param loadLagMs how old load reports are at least
 * @param cacheLagMs how late cache events appear
 * @param maxRecords how many ended requests are remembered
 */
public record EngineOptions(
        String name,
        String zone,
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

    /** Checks the numbers. */
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
