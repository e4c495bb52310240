package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.RetryBudget;
import java.util.HashMap;
import java.util.Map;

/** Keeps one retry budget for each service; used by the traffic thread. */
public final class RetryBudgets {

    /** Routers do not coordinate their retries, so every router may make only a few at once beyond its share. */
    private static final double MAX_TOKENS = 2.5;

    private final Map<String, RetryBudget> byService = new HashMap<>();

    /**
     * Counts a request, which adds to the retry budget.
     *
     * @param service the name of the service that it is for
     */
    public void recordRequest(String service) {
        byService.put(service, budget(service).withRequest());
    }

    /**
     * Tells whether a request may be retried.
     *
     * @param service the name of the service that it is for
     * @return true if the budget allows it
     */
    public boolean allowsRetry(String service) {
        return budget(service).allowsRetry();
    }

    /**
     * Counts a retry, which takes from the retry budget.
     *
     * @param service the name of the service that it is for
     */
    public void recordRetry(String service) {
        byService.put(service, budget(service).withRetry());
    }

    private RetryBudget budget(String service) {
        return byService.getOrDefault(service, RetryBudget.full(MAX_TOKENS));
    }
}
