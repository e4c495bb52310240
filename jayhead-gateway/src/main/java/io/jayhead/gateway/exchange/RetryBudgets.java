package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.RetryBudget;
import java.util.HashMap;
import java.util.Map;

/** One retry budget for each service; used by the traffic thread. */
public final class RetryBudgets {

    /** Routers do not talk about retries, so each may make only a few beyond its share at once. */
    private static final double MAX_TOKENS = 2.5;

    private final Map<String, RetryBudget> byService = new HashMap<>();

    /**
     * Counts a request.
     *
     * @param service the service that it is for
     */
    public void recordRequest(String service) {
        byService.put(service, budget(service).withRequest());
    }

    /**
     * Tells whether a request may be sent again.
     *
     * @param service the service
     * @return true if the budget allows it
     */
    public boolean allowsRetry(String service) {
        return budget(service).allowsRetry();
    }

    /**
     * Counts a request that is sent again.
     *
     * @param service the service
     */
    public void recordRetry(String service) {
        byService.put(service, budget(service).withRetry());
    }

    private RetryBudget budget(String service) {
        return byService.getOrDefault(service, RetryBudget.full(MAX_TOKENS));
    }
}
