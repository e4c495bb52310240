package io.jayhead.routing;

import java.util.Set;

/**
 * Holds what an upstream reports about its load; the report describes a moment in the past.
 *
 * @param queued the requests that wait for a place in the batch
 * @param running the requests in the batch
 * @param maxBatch the places in the batch, at least 1
 * @param tokensPerSecond the output tokens per second of the whole batch; 0 if unknown
 * @param draining whether the upstream takes no new work
 * @param reportAgeMs the age of the figures when the report was sent
 * @param models the weights that are loaded
 * @param adapters the adapters that are loaded
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

    /** Raises figures that are out of range to their minimum, because upstreams outside our control send them. */
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
