package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.RetryDelay;

/** Chooses when the caller of a refused request should come back; used by the traffic thread. */
final class RefusalDelay {

    private RefusalDelay() {}

    /**
     * Returns the delay of a retry.
     *
     * @param refusal why the request is refused
     * @param context the objects that all exchanges of the router share
     * @param admitted the request; null if it was refused before it was admitted
     * @param prompt knows when a blocked part of its prompt is tried
     * @param pass the way of the request through the gate; null if it was refused before
     * @return the mean delay in milliseconds, before jitter; 0 if the answer names none
     */
    static long retryAfterMs(
            Refusal refusal, GatewayContext context, AdmittedRequest admitted, PromptPass prompt, GatePass pass) {
        return switch (refusal) {
            case BUDGET_UNAVAILABLE -> RetryDelay.forOutageMs(context.budgets().ledgerOutageMs());
            case PROMPT_BLOCKED -> prompt.retryDelayMs();
            case OVER_LIMIT -> pass.retryDelayMs();
            case UPSTREAMS_PAUSED ->
                context.filter().firstReturnMs(admitted.service().name());
            default -> refusal.retryAfterMs();
        };
    }
}
