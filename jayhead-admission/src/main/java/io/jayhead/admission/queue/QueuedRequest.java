package io.jayhead.admission.queue;

import io.jayhead.model.Checks;
import io.jayhead.model.OrganisationName;

/**
 * Describes a waiting request.
 *
 * @param id the request id
 * @param organisation the organisation that it is served for
 * @param lane the lane, within which requests are not reordered
 * @param priority the priority; higher goes first
 * @param costTokens the cost by which shares are measured
 * @param weight the weight of the organisation, positive
 * @param expiresAtMs the time after which it is not served
 */
public record QueuedRequest(
        String id,
        OrganisationName organisation,
        String lane,
        int priority,
        long costTokens,
        int weight,
        long expiresAtMs) {

    /** Checks the weight and the cost. */
    public QueuedRequest {
        Checks.requireNotNegative(costTokens, "costTokens");
        Checks.requireNotNegative(weight - 1L, "weight - 1");
    }
}
