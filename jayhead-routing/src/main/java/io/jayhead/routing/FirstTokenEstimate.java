package io.jayhead.routing;

/** Estimates the time to the first token at an upstream. */
final class FirstTokenEstimate {

    /** Token rate assumed for an upstream that reports none, such as a plain service. */
    private static final double UNKNOWN_TOKENS_PER_SECOND = 1_000;
    /** Observed latencies are as outdated as reports, so they only correct the modelled time. */
    private static final double OBSERVED_SHARE = 0.2;

    private static final double MS_PER_SECOND = 1_000;

    private FirstTokenEstimate() {}

    /**
     * Estimates the time to the first token.
     *
     * @param state the state of the upstream
     * @param parameters the tuning parameters
     * @param request the request
     * @param sameZone whether the upstream is in the availability zone of this router
     * @param nowMs the current time
     * @return the estimate in milliseconds
     */
    static double of(
            UpstreamState state, RoutingParameters parameters, RoutingRequest request, boolean sameZone, long nowMs) {
        double modelledMs = queueMs(state, parameters, nowMs) + promptMs(state, parameters, request, nowMs);
        double correctedMs =
                state.firstTokenMs().blend(modelledMs, OBSERVED_SHARE, nowMs, parameters.observationHalfLifeMs());
        return correctedMs + (sameZone ? 0 : parameters.otherZonePenaltyMs()) + failureMs(state, parameters, nowMs);
    }

    private static double queueMs(UpstreamState state, RoutingParameters parameters, long nowMs) {
        if (state.report().isEmpty()) {
            return 0;
        }
        LoadReport report = state.report().get();
        long requestsAtEngine = report.queued() + report.running() + state.sentSinceReport();
        double tokensPerRequest = state.outputTokens()
                .blend(parameters.typicalOutputTokens(), 1, nowMs, parameters.observationHalfLifeMs());
        double tokensPerSecond = report.tokensPerSecond() > 0 ? report.tokensPerSecond() : UNKNOWN_TOKENS_PER_SECOND;
        double requestMs = tokensPerRequest / tokensPerSecond * MS_PER_SECOND;
        long requestsAhead = Math.max(0, requestsAtEngine - report.maxBatch() + 1);
        return requestsAhead * requestMs;
    }

    private static double promptMs(
            UpstreamState state, RoutingParameters parameters, RoutingRequest request, long nowMs) {
        double savedShare = parameters.cachedPromptShare() * state.prefixes().likelihood(request.prefix(), nowMs);
        double tokens = state.promptTokensSinceReport() + request.promptTokens() * (1 - savedShare);
        return tokens / parameters.promptTokensPerSecond() * MS_PER_SECOND;
    }

    private static double failureMs(UpstreamState state, RoutingParameters parameters, long nowMs) {
        long failures = state.silentFailures(nowMs, parameters.silentFailureWindowMs());
        return Math.max(0, failures - 1) * parameters.silentFailurePenaltyMs();
    }
}
