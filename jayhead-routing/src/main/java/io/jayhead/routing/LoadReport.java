package io.jayhead.routing;

import java.util.Set;

/**
 * Holds the load figures that an upstream reports; they are already outdated when they arrive.
 *
 * @param queued the number of requests that wait for a slot in the batch
 * @param running the number of requests in the batch
 * @param maxBatch the number of slots in the batch, at least 1
 * @param tokensPerSecond the output tokens per second of the whole batch; 0 if unknown
 * @param draining whether the upstream accepts no new requests
 * @param reportAgeMs the age of the figures at the time when the report was sent
 * @param models the names of the loaded weights
 * @param adapters the names of the loaded adapters
 */
public record LoadReport(
        int queued,
        int running,
        int maxBatch,
        double tokensPerSecond,
        boolean draining,
        long reportAgeMs,
        Set<String> models,
        Set<String> adapters) {

    /** Clamps the figures to their valid range, because upstreams outside our control send them. */
    public LoadReport {
        queued = Math.max(0, queued);
        running = Math.max(0, running);
        maxBatch = Math.max(1, maxBatch);
        tokensPerSecond = Double.isFinite(tokensPerSecond) ? Math.max(0, tokensPerSecond) : 0;
        reportAgeMs = Math.max(0, reportAgeMs);
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }
}
