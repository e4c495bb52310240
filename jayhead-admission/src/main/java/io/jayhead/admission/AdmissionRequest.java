package io.jayhead.admission;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKind;

/**
 * Describes a request that waits for admission.
 *
 * @param id the request id, unique at this router
 * @param budget the budget that is charged
 * @param organisation the organisation that sent the request
 * @param priority the priority from 0 to 9; higher priorities start first
 * @param kind the kind, which limits the time in the queue
 * @param worstCaseTokens the most tokens that the request may consume; 0 if it needs no grant
 * @param arrivedAtMs the arrival time
 * @param deadlineAtMs the time at which the response must be complete
 * @param maxInFlight the maximum number of requests of the organisation in flight, positive; also its queue weight
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

    /**
     * Validates the amounts.
     *
     * @throws IllegalArgumentException if {@code worstCaseTokens} is negative or {@code maxInFlight} is not positive
     */
    public AdmissionRequest {
        Checks.requireNotNegative(worstCaseTokens, "worstCaseTokens");
        Checks.requireNotNegative(maxInFlight - 1L, "maxInFlight - 1");
    }

    /**
     * Returns the time from which the request is not started any more.
     *
     * @return the earlier of the end of the queue time of its kind and its deadline, in milliseconds
     */
    public long startBeforeMs() {
        return Math.min(arrivedAtMs + kind.queueLimitMs(), deadlineAtMs);
    }
}
