package io.jayhead.standins.engine;

import java.util.List;

/**
 * Holds the load of an engine at a past time.
 *
 * @param queued the number of requests that wait for a slot in the batch
 * @param running the number of requests in the batch
 * @param maxBatch the number of slots in the batch
 * @param tokensPerSecond the output token rate in the second before the sample
 * @param draining whether the engine refuses new requests
 * @param ageMs the age of the sample in milliseconds
 * @param models the names of the models served, or empty for any
 * @param adapters the names of the adapters served
 */
public record LoadReport(
        int queued,
        int running,
        int maxBatch,
        double tokensPerSecond,
        boolean draining,
        long ageMs,
        List<String> models,
        List<String> adapters) {}
