package io.jayhead.daemon.request;

import io.jayhead.dispatch.RetryBudget;

/** Holds the retry budget that all requests of a router share. */
public final class SharedRetryBudget {

    private RetryBudget budget = RetryBudget.full();

    /** Counts a request, which adds to the retry budget. */
    public synchronized void countRequest() {
        budget = budget.withRequest();
    }

    /**
     * Counts a retry if the budget allows it.
     *
     * @return true if the retry is allowed and was counted
     */
    public synchronized boolean allowRetry() {
        if (!budget.allowsRetry()) {
            return false;
        }
        budget = budget.withRetry();
        return true;
    }
}
