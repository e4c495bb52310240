package io.jayhead.routing;

/**
 * Holds the tuning parameters of upstream selection.
 *
 * @param policy the policy that chooses among the eligible candidates
 * @param freshnessLimitMs the age of a load report above which the state of an upstream is stale
 * @param promptTokensPerSecond the prompt tokens that an engine is assumed to process per second
 * @param cachedPromptShare the share of the prompt processing time that a cache hit saves, from 0 to 1
 * @param otherZonePenaltyMs the penalty for an upstream in another availability zone, for two crossings between
 *     availability zones and the risk of a partition between them
 * @param typicalOutputTokens the output tokens assumed for a request until some were observed
 * @param nearBestRatio the multiple of the best estimate up to which a candidate is near-best
 * @param nearBestSlackMs the distance from the best estimate up to which a candidate is near-best
 * @param silentFailureWindowMs the time for which a silent failure is counted
 * @param silentFailurePenaltyMs the penalty for each silent failure in the window after the first one
 * @param observationHalfLifeMs the half-life of observed latencies and output lengths
 */
public record RoutingParameters(
        RoutingPolicy policy,
        long freshnessLimitMs,
        double promptTokensPerSecond,
        double cachedPromptShare,
        double otherZonePenaltyMs,
        double typicalOutputTokens,
        double nearBestRatio,
        double nearBestSlackMs,
        long silentFailureWindowMs,
        double silentFailurePenaltyMs,
        long observationHalfLifeMs) {

    /**
     * Returns the default parameters, as given on the design page.
     *
     * @return the parameters
     */
    public static RoutingParameters defaults() {
        return new RoutingParameters(
                RoutingPolicy.ESTIMATED_FIRST_TOKEN, 3_000, 8_000, 0.8, 10, 200, 1.25, 30, 5_000, 250, 5_000);
    }

    /**
     * Returns the same parameters with another policy.
     *
     * @param newPolicy the policy
     * @return the new parameters
     */
    public RoutingParameters withPolicy(RoutingPolicy newPolicy) {
        return new RoutingParameters(
                newPolicy,
                freshnessLimitMs,
                promptTokensPerSecond,
                cachedPromptShare,
                otherZonePenaltyMs,
                typicalOutputTokens,
                nearBestRatio,
                nearBestSlackMs,
                silentFailureWindowMs,
                silentFailurePenaltyMs,
                observationHalfLifeMs);
    }
}
