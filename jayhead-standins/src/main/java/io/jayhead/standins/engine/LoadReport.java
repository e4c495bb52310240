package io.jayhead.standins.engine;

import java.util.List;

/**
 * Reports the load of an engine as it was some time ago.
 *
 * @param queued requests that wait for a place in the batch
 * @param running requests in the batch
 * @param maxBatch the size of the batch
 * @param tokensPerSecond output tokens produced in the second before
 * @param draining whether new work is refused
 * @param ageMs how old the report is
 * @param models the models served
 * @param adapters the adapters served
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
