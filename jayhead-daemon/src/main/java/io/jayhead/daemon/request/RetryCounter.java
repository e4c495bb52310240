package io.jayhead.daemon.request;

import io.jayhead.dispatch.RetryBudget;

/** Shares the retry budget between the requests of a router. */
public final class RetryCounter {

    private RetryBudget budget = RetryBudget.full();

    /** Counts a request. */
    public synchronized void countRequest() {
        budget = budget.withRequest();
    }

    /**
     * Counts a retry if the budget allows it.
     *
     * @return whether the retry may be made
     */
    public synchronized boolean allowRetry() {
        if (!budget.allowsRetry()) {
            return false;
        }
        budget = budget.withRetry();
        return true;
    }
}
