package io.jayhead.daemon.request;

import io.jayhead.model.BudgetId;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKey;
import io.jayhead.model.fleet.ServiceSpec;
import io.jayhead.routing.RoutingRequest;

/**
 * A valid request of a known organisation, before admission.
 *
 * @param id the id of this arrival of the request at this router; a repeated request gets a new one
 * @param key the key of the request for billing and deduplication; the same for all requests of an organisation to a
 *     service with the same idempotency key, random without one
 * @param hasIdempotencyKey whether the caller sent an idempotency key and may therefore repeat the request
 * @param organisation the organisation of the caller
 * @param service the service that is called
 * @param budget the budget that pays for the request
 * @param priority the priority from 0 to 9, the mean of those of the request kind and of the organisation
 * @param routingRequest the properties that routing depends on
 * @param fleetVersion the version of the configuration against which it was checked
 * @param bodyDigest the SHA-256 of the body, which shows whether a key is reused with another body
 * @param arrivedAtMs the time of arrival
 */
record ValidatedRequest(
        String id,
        RequestKey key,
        boolean hasIdempotencyKey,
        OrganisationName organisation,
        ServiceSpec service,
        BudgetId budget,
        int priority,
        RoutingRequest routingRequest,
        long fleetVersion,
        String bodyDigest,
        long arrivedAtMs) {

    /** Returns the id of a run at an upstream; it contains the budget, so that a reclaim can charge the run to it. */
    String upstreamRequestId(String runId) {
        return runId + "~" + budget.objectName();
    }
}
