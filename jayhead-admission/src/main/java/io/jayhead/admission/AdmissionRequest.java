package io.jayhead.admission;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKind;

/**
 * Describes a request that asks to be admitted.
 *
 * @param id the request id, unique at this router
 * @param budget the budget that pays
 * @param organisation the organisation that it is served for
 * @param priority the priority from 0 to 9; higher goes first
 * @param kind the kind
 * @param worstCaseTokens the most that it may consume; 0 needs no grant
 * @param arrivedAtMs the arrival time
 * @param deadlineAtMs the time at which the answer must be complete
 * @param maxInFlight the most requests of the organisation that run at a time, also its weight in the queue
 */
public record AdmissionRequest(
        String id,
        BudgetId budget,
        OrganisationName organisation,
        int priority,
        RequestKind kind,
        long worstCaseTokens,
        long arrivedAtMs,
        long deadlineAtMs,
        int maxInFlight) {

    /** Checks the amounts. */
    public AdmissionRequest {
        Checks.requireNotNegative(worstCaseTokens, "worstCaseTokens");
        Checks.requireNotNegative(maxInFlight - 1L, "maxInFlight - 1");
    }

    /**
     * Returns the time after which the request is not started.
     *
     * @return the earlier of the queue limit of its kind and its deadline
     */
    public long startBeforeMs() {
        return Math.min(arrivedAtMs + kind.queueLimitMs(), deadlineAtMs);
    }
}
