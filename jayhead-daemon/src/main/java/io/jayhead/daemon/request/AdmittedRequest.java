package io.jayhead.daemon.request;

import io.jayhead.model.BudgetId;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKey;
import io.jayhead.model.fleet.ServiceSpec;
import io.jayhead.routing.RoutingRequest;

/**
 * A request that is checked and identified.
 *
 * @param id identifies this arrival at this router
 * @param key identifies the request for billing and deduplication
 * @param keyed whether the caller gave an idempotency key, so that it may come again
 * @param organisation the organisation of the caller
 * @param service the service
 * @param budget the budget that pays
 * @param priority the priority
 * @param routing what routing needs to know
 * @param fleetVersion the configuration version that it was read under
 * @param bodyDigest the digest of the body
 * @param arrivedAtMs when it arrived
 */
record AdmittedRequest(
        String id,
        RequestKey key,
        boolean keyed,
        OrganisationName organisation,
        ServiceSpec service,
        BudgetId budget,
        int priority,
        RoutingRequest routing,
        long fleetVersion,
        String bodyDigest,
        long arrivedAtMs) {

    /** Returns the id of a run at an upstream; the budget in it lets a reclaim charge the run to it. */
    String upstreamRequestId(String runId) {
        return runId + "~" + budget.objectName();
    }
}
