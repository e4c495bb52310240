package io.jayhead.scenarios.run;

import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKey;
import io.jayhead.model.ServiceName;
import io.jayhead.scenarios.client.CallerAnswer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Holds a request of a caller and its answer to come.
 *
 * @param id its name in the scenario
 * @param router the router that got it
 * @param organisation the organisation of the caller
 * @param service the service
 * @param key the idempotency key or the order
 * @param prompt the prompt, empty for plain services
 * @param outputCap the largest number of output tokens
 * @param answer the answer
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
