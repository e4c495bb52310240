package io.jayhead.scenarios.run;

import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKey;
import io.jayhead.model.ServiceName;
import io.jayhead.scenarios.client.CallerAnswer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Holds a request of a caller and its pending or received answer.
 *
 * @param id its name in the scenario
 * @param router the name of the router that it was sent to
 * @param organisation the organisation of the caller
 * @param service the name of the service
 * @param key the idempotency key of a generation, or the order of a booking or status read
 * @param prompt the prompt, or empty for a plain service
 * @param outputCap the maximum number of output tokens, or 0 for a plain service
 * @param answer completes with the answer
 */
record SentRequest(
        String id,
        String router,
        String organisation,
        String service,
        String key,
        String prompt,
        int outputCap,
        CompletableFuture<CallerAnswer> answer) {

    boolean isGeneration() {
        return !prompt.isEmpty();
    }

    RequestKey requestKey() {
        return RequestKey.of(OrganisationName.of(organisation), ServiceName.of(service), key);
    }

    Optional<CallerAnswer> received() {
        return Optional.ofNullable(answer.getNow(null));
    }
}
