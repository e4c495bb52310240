package io.jayhead.routing;

/**
 * Holds the numbers that steer the choice of an upstream.
 *
 * @param policy how the upstream is chosen among the candidates
 * @param freshnessLimitMs the age above which the state of an upstream counts as stale
 * @param promptTokensPerSecond the prompt tokens that an engine processes per second
 * @param cachedPromptShare the share of the prompt time that a cache hit saves
 * @param otherZonePenaltyMs the cost of another availability zone: two crossings and the risk of a cut between zones
 * @param typicalOutputTokens the output tokens of a request while nothing was observed
 * @param nearBestRatio candidates up to this multiple of the best estimate count as near-best
 * @param nearBestSlackMs candidates up to this much above the best estimate count as near-best
 * @param silentFailureWindowMs the time for which a silent failure counts
 * @param silentFailurePenaltyMs the cost of each silent failure after the first in the window
 * @param observationHalfLifeMs the half-life of observed latencies
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
     * Returns the parameters of the design page.
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
