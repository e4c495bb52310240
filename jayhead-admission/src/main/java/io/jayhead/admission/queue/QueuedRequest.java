package io.jayhead.admission.queue;

import io.jayhead.model.Checks;
import io.jayhead.model.OrganisationName;

/**
 * Describes a waiting request.
 *
 * @param id the request id
 * @param organisation the organisation that sent the request
 * @param lane the lane, within which a request does not start before one that is ahead of it in the queue
 * @param priority the priority; higher priorities are served first
 * @param costTokens the cost in tokens, by which the shares of organisations are measured
 * @param weight the weight of the organisation, positive
 * @param expiresAtMs the time from which the request is not served any more
 */
public record QueuedRequest(
        String id,
        OrganisationName organisation,
        String lane,
        int priority,
        long costTokens,
        int weight,
        long expiresAtMs) {

    /**
     * Validates the cost and the weight.
     *
     * @throws IllegalArgumentException if the cost is negative or the weight is not positive
     */
    public QueuedRequest {
        Checks.requireNotNegative(costTokens, "costTokens");
        Checks.requireNotNegative(weight - 1L, "weight - 1");
    }
}
