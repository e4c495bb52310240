package io.jayhead.load.plan;

import io.jayhead.model.BudgetId;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKey;
import io.jayhead.model.RequestKind;
import io.jayhead.model.ServiceName;
import java.nio.charset.StandardCharsets;

/**
 * Describes one request before it is sent.
 *
 * @param arrivalNs the planned arrival in nanoseconds since the start of the run
 * @param shape the shape that the request was drawn from
 * @param organisation the organisation that sends the request
 * @param service the service called
 * @param router the index of the router that receives it
 * @param key the idempotency key; for bookings and status reads, the order number
 * @param prompt the prompt; empty for plain services
 * @param maxTokens the maximum number of output tokens; 0 for plain services
 * @param retry whether this repeats an earlier request with the same key
 */
public record PlannedRequest(
        long arrivalNs,
        RequestShape shape,
        String organisation,
        String service,
        int router,
        String key,
        String prompt,
        int maxTokens,
        boolean retry) {

    /**
     * Returns the kind of request.
     *
     * @return the kind
     */
    public RequestKind kind() {
        return shape.kind();
    }

    /**
     * Returns the tokens that a router reserves before it runs this request.
     *
     * @return the length of the prompt in bytes plus the maximum output, or the price of a booking
     */
    public long worstCaseTokens() {
        if (kind() == RequestKind.BOOKING) {
            return Mix.BOOKING_PRICE_TOKENS;
        }
        return prompt.getBytes(StandardCharsets.UTF_8).length + (long) maxTokens;
    }

    /**
     * Returns the request key that identifies this request in the charge log.
     *
     * @return the request key
     */
    public RequestKey requestKey() {
        return RequestKey.of(OrganisationName.of(organisation), ServiceName.of(service), key);
    }

    /**
     * Returns the budget that pays for this request.
     *
     * @return the budget
     */
    public BudgetId budget() {
        return BudgetId.of(organisation, kind().isGeneration() ? Mix.GENERATIONS_BUDGET : Mix.BOOKINGS_BUDGET);
    }

    PlannedRequest retryAt(long retryArrivalNs, int otherRouter) {
        return new PlannedRequest(
                retryArrivalNs, shape, organisation, service, otherRouter, key, prompt, maxTokens, true);
    }
}
